"""Ordinary clients, and the memory of a gateway process."""

import asyncio
import os
import re
import sys
import time
from pathlib import Path

from review.site_2 import start_process


class Crowd:
    """Hostile clients in two processes of their own."""

    def __init__(self, address, kind, count, seconds):
        self._arguments = (address, kind, str(count // 2), str(seconds))
        self._processes = []

    async def start(self):
        """Start them, and give them two seconds to connect."""
        script = str(Path(__file__).with_name('crowd_2.py'))
        for _ in range(2):
            self._processes.append(
                await start_process(sys.executable, script, *self._arguments)
            )
        await asyncio.sleep(2)

    def stop(self):
        """End them, as there is nothing left to connect to."""
        for process in self._processes:
            if process.returncode is None:
                process.terminate()

    async def wait(self, record):
        """Wait for their end, and record what they did."""
        for process in self._processes:
            out = await finish(process)
            record.note(f'hostile clients: {out.decode().strip()}')


async def finish(process):
    """Return what a process writes until its end; kill it if interrupted."""
    try:
        out, _ = await process.communicate()
    except BaseException:
        process.kill()
        await process.wait()
        raise
    return out


async def ask(address, request_id, path, deadline_ms, method='GET', **headers):
    """Send one request on a new connection; return status (0: none) and body.

    The client leaves at its deadline.
    """
    host, _, port = address.rpartition(':')
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: desk.example',
        f'Bramleybeam-Request-Id: {request_id}',
        f'Bramleybeam-Request-Deadline: {deadline_ms}',
        'Connection: close',
        *(f'{key.replace("_", "-")}: {value}' for key, value in headers.items()),
    ]
    if method == 'POST':
        lines.append('Content-Length: 0')
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
            head = await reader.readuntil(b'\r\n\r\n')
            status = int(head.split(b' ')[1])
            return status, await reader.read()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b''
    finally:
        if writer is not None:
            writer.transport.abort()


async def check_sound(address, record):
    """Look up a permit before the disruption; it must be served."""
    status, _ = await ask(address, 'before', '/permit-lookup/2f', 8000)
    record.note(f'a lookup before: {status}')
    if status != 200:
        raise RuntimeError('no lookup is served without the disruption')


async def ask_regularly(address, record, seconds, every_s=0.25):
    """Look up a permit every now and then; return (age, status) of each."""
    began = time.monotonic()
    results = []

    async def ask_one(number):
        sent_at = time.monotonic()
        record.note(f'lookup-{number} sent')
        status, _ = await ask(
            address, f'lookup-{number}', '/permit-lookup/2f', 8000
        )
        took_s = time.monotonic() - sent_at
        record.note(
            f'lookup-{number} answered {status or "not at all"},'
            f' after {took_s:.3f} s'
        )
        results.append((took_s, status))

    asked = []
    while time.monotonic() - began < seconds:
        asked.append(asyncio.create_task(ask_one(len(asked))))
        await asyncio.sleep(every_s)
    await asyncio.gather(*asked)
    return results


def memory_of(pid, port):
    """Resident bytes of a process, and bytes received for it and not read."""
    status = Path(f'/proc/{pid}/status').read_text()
    resident = int(re.search(r'VmRSS:\s+(\d+)', status)[1]) * 1024
    unread = 0
    for row in Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = row.split()
        is_own = int(fields[1].partition(':')[2], 16) == port
        if is_own and fields[3] != '0A':
            unread += int(fields[4].partition(':')[2], 16)
    return resident, unread


def cpu_s_of(pid):
    """Processor time of a process, in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')
