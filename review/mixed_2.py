"""Hostile clients of two kinds: ``mixed_2.py ADDRESS SECONDS``.

2,000 clients send empty lines before a request, one every 2 seconds, and 26 send a
whole body of 4,000,000 bytes each to a route of streams and read the answer. 1,000
more clients with empty lines come in the 4 seconds after that.
"""

import asyncio
import sys

BODY = b'x' * 4_000_000
REQUEST = (
    b'POST /hydrant-query/2f HTTP/1.1\r\nHost: desk.example\r\n'
    b'Bramleybeam-Request-Id: whole-%d\r\n'
    b'Bramleybeam-Request-Deadline: 10000\r\nBramleybeam-Model: m1\r\n'
    b'Bramleybeam-Token-Counts: 646,70\r\nContent-Length: %d\r\n\r\n'
)
counts = {}


def count(name):
    counts[name] = counts.get(name, 0) + 1


async def send_lines(address):
    host, _, port = address.rpartition(':')
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        count('with empty lines: connected')
        while not reader.at_eof():
            writer.write(b'\r\n')
            await asyncio.sleep(2)
        count('with empty lines: closed')
    except OSError:
        count('with empty lines: closed')


async def send_body(address, number):
    host, _, port = address.rpartition(':')
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(REQUEST % (number, len(BODY)) + BODY)
        line = await reader.readline()
        count('with a whole body: ' + (line[9:12].decode() or 'closed'))
        while await reader.read(1 << 16):
            pass
    except OSError:
        count('with a whole body: closed')


async def main():
    address, seconds = sys.argv[1], float(sys.argv[2])
    lines = [
        asyncio.create_task(send_lines(address)) for _ in range(2000)
    ]
    await asyncio.sleep(3)
    bodies = [
        asyncio.create_task(send_body(address, number)) for number in range(26)
    ]
    for _ in range(20):
        await asyncio.sleep(0.2)
        lines += [
            asyncio.create_task(send_lines(address)) for _ in range(50)
        ]
    await asyncio.sleep(seconds)
    for task in lines + bodies:
        task.cancel()
    print(counts)


asyncio.run(main())
