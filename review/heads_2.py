"""Hostile clients with long heads: ``heads_2.py ADDRESS COUNT SECONDS BYTES``.

Each sends a request whose target is BYTES slashes, on a new connection, and the next
one when the gateway has answered or closed, or after 10 seconds; a pause of 0.1 s
lies between two.
"""

import asyncio
import sys
import time

REQUEST = (
    b'GET %s HTTP/1.1\r\nHost: desk.example\r\n'
    b'Bramleybeam-Request-Id: head-%d-%d\r\n'
    b'Bramleybeam-Request-Deadline: 4000\r\n\r\n'
)


async def send(address, target, number, ends_at):
    host, _, port = address.rpartition(':')
    answers = {}
    count = 0
    while time.monotonic() < ends_at:
        count += 1
        answer = 'none'
        writer = None
        try:
            async with asyncio.timeout(10):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(REQUEST % (target, number, count))
                line = await reader.readline()
                answer = line[9:12].decode() or 'closed'
        except (OSError, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        answers[answer] = answers.get(answer, 0) + 1
        await asyncio.sleep(0.1)
    return answers


async def main():
    address, count, seconds = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
    target = b'/' * int(sys.argv[4])
    ends_at = time.monotonic() + seconds
    every = await asyncio.gather(
        *(send(address, target, number, ends_at) for number in range(count))
    )
    sums = {}
    for answers in every:
        for answer, number in answers.items():
            sums[answer] = sums.get(answer, 0) + number
    print(f'heads sent, by answer: {sums}')


asyncio.run(main())
