"""A gateway stands still while a replica crashes and is back; which streams are whole?

Replicas are processes; a crash is SIGKILL, after which the system closes their
connections.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from pathlib import Path

from review import site_2 as site
from tests.platform_site import make_route

EVENTS = 30
RATE = 55
# Seconds before a freeze from which streams may have no length, and between two.
GARBLE_S = 5.3
PAUSE_S = 5
HEARTBEAT_S = 1.2
# Seconds: the freeze, and within it the crash and the return of the replica.
FREEZE_S = 3.0
CRASH_AT_S = 0.2
BACK_AT_S = 2.5
REQUEST = (
    'POST /overnight-review/2f HTTP/1.1\r\nHost: desk.example\r\n'
    'Bramleybeam-Request-Id: r-{number}\r\n'
    'Bramleybeam-Request-Deadline: 20000\r\nBramleybeam-Model: m1\r\n'
    'Bramleybeam-Token-Counts: 1460,80\r\nConnection: close\r\n'
    'Content-Length: 0\r\n\r\n'
)
# A client leaves a stream after a gap of four times the objective of 2 s.
MAX_GAP_S = 8.0


def free_tcp_port():
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


class Fleet:
    """The replicas: processes, and their entries in the store."""

    def __init__(self, place, record):
        self.place = place
        self.record = record
        self.readers = []
        self.processes = {}
        self.entries = {}
        self.ports = {}

    async def start(self, name, port, *, delay=0.0, holds=True):
        process = await site.start_process(
            sys.executable,
            str(site.ROOT / 'review' / 'engine_2.py'),
            name,
            str(port),
            str(delay),
            str(int(holds)),
        )
        self.processes[name] = process
        self.ports[name] = port
        entry = json.loads(await process.stdout.readline())
        self.entries[name] = entry
        self.place.store.put(f'servers/{name}', entry)
        self.readers.append(asyncio.create_task(self._note_runs(process)))

    async def _note_runs(self, process):
        """Record what a replica runs."""
        async for line in process.stdout:
            self.record.note(line.decode().strip())

    def signal(self, names, number):
        """Send a signal to the replicas that live."""
        for name in names:
            if name in self.entries:
                self.processes[name].send_signal(number)

    async def beat(self):
        """Write the entries of the replicas that live, with a new sequence."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for name, entry in self.entries.items():
                entry['sequence'] += 1
                self.place.store.put(f'servers/{name}', entry)

    async def crash(self, name):
        """Kill a replica; its entry ends after three heartbeats of silence."""
        self.processes[name].kill()
        self.entries.pop(name)
        await self.processes[name].wait()

        async def expire():
            await asyncio.sleep(3 * HEARTBEAT_S)
            self.place.store.remove(f'servers/{name}')

        return asyncio.create_task(expire())

    async def close(self):
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


async def read_stream(address, number):
    """Return how a stream ended, and the ids of its events."""
    host, _, port = address.rpartition(':')
    received = b''
    writer = None
    end = 'cut'
    try:
        async with asyncio.timeout(20):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(REQUEST.format(number=number).encode())
            while True:
                async with asyncio.timeout(MAX_GAP_S):
                    part = await reader.read(65_536)
                if not part:
                    break
                received += part
                if received.endswith(b'\r\n0\r\n\r\n'):
                    end = 'complete'
                    break
    except TimeoutError:
        end = 'left'
    except OSError:
        end = 'reset'
    finally:
        if writer is not None:
            writer.transport.abort()
    if not received.startswith(b'HTTP/1.1 200 '):
        return f'status {received[9:12].decode()}', []
    ids = [
        int(line[3:])
        for line in received.split(b'\n')
        if line.startswith(b'id:') and line[3:].strip().isdigit()
    ]
    return end, ids


async def case(place, record, has_trouble):
    make = site.make_configuration

    def configure(version=1):
        configuration = make(version)
        configuration['routes'].append(
            make_route(
                'overnight-review',
                'drafting-models',
                'streaming',
                resumable=True,
                **{'timeout-ms': 20_000, 'goal-ms': 2000, 'gap-aim-ms': 250},
            )
        )
        return configuration

    site.make_configuration = configure
    await place.start(ledgers=1, engines=0)
    fleet = Fleet(place, record)
    broken = []
    ends = {}

    async def follow(number):
        record.note(f'r-{number} sent')
        end, ids = await read_stream(gateway.callers, number)
        ends[end] = ends.get(end, 0) + 1
        is_whole = ids == list(range(EVENTS))
        if end == 'complete' and not is_whole:
            broken.append(number)
        record.note(
            f'r-{number} ended: {end}, events'
            f' {ids[0] if ids else "none"} to {ids[-1] if ids else "none"},'
            f' {len(ids)} of {EVENTS}'
        )

    async def ask():
        while True:
            streams.append(asyncio.create_task(follow(len(streams))))
            await asyncio.sleep(1 / RATE)

    streams = []
    beating = asyncio.create_task(fleet.beat())
    try:
        await asyncio.gather(
            *(
                fleet.start(f'i-e{n}', free_tcp_port())
                for n in range(6)
            )
        )
        gateway = await place.start_gateway()
        pid = gateway.process.pid
        await asyncio.sleep(2)
        asking = asyncio.create_task(ask())
        await asyncio.sleep(5)
        expiries = []
        # Half of the servers, that which crashes next among them.
        garbling = ('i-e0', 'i-e1', 'i-e2')
        for n in range(3):
            await asyncio.sleep(PAUSE_S)
            fleet.signal(garbling, signal.SIGUSR1)
            await asyncio.sleep(GARBLE_S)
            fleet.signal(garbling, signal.SIGUSR2)
            if has_trouble:
                began = time.monotonic()
                record.note('the gateway stands still')
                os.kill(pid, signal.SIGSTOP)
                await asyncio.sleep(CRASH_AT_S)
                record.note(f'i-e{n} crashes')
                expiries.append(await fleet.crash(f'i-e{n}'))
                left_s = BACK_AT_S - (time.monotonic() - began)
                await fleet.start(
                    f'i-f{n}',
                    fleet.ports[f'i-e{n}'],
                    delay=max(0, left_s - 0.2),
                    holds=False,
                )
                record.note(f'it is back as i-f{n}, at the same address')
                left_s = FREEZE_S - (time.monotonic() - began)
                await asyncio.sleep(max(0, left_s))
                os.kill(pid, signal.SIGCONT)
                record.note(
                    'the gateway goes on after'
                    f' {time.monotonic() - began:.2f} s'
                )
        await asyncio.sleep(5)
        asking.cancel()
        await asyncio.gather(*streams)
    finally:
        beating.cancel()
        with contextlib.suppress(Exception):
            os.kill(place.gateways[0].process.pid, signal.SIGCONT)
        await fleet.close()
    line = (
        f'{len(streams)} streams, by their ends: {ends}; complete before their'
        f' last event: {len(broken)}; exit status of the gateway:'
        f' {gateway.process.returncode}'
    )
    record.note(line)
    print(line)
    if not has_trouble and len(streams) < 500:
        raise RuntimeError('too few streams')
    # As for the rule: one is enough.
    return bool(broken)


site.run(case, Path(__file__).parent)
