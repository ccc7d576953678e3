"""Clients and measurements for tests of hostile callers."""

import asyncio
import re
import socket
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import attrs
import psutil

# The longest time for which a hostile client goes on; it may be closed before.
CROWD_S = 45
PIECE_BYTES = 65_536


@attrs.define
class Usage:
    """The highest use of memory and descriptors that was seen.

    Memory includes what the system has received for callers' connections and
    the process has not read.
    """

    pid: int
    port: int
    memory_bytes: int = 0
    descriptors: int = 0

    def sample(self) -> None:
        process = psutil.Process(self.pid)
        status = Path(f'/proc/{self.pid}/status').read_text()
        peak_kib = int(re.search(r'VmHWM:\s+(\d+)', status)[1])
        used = process.memory_info().rss + self._unread_bytes()
        self.memory_bytes = max(self.memory_bytes, used, peak_kib * 1024)
        self.descriptors = max(self.descriptors, process.num_fds())

    def _unread_bytes(self) -> int:
        """Return the bytes in the receive queues of callers' connections."""
        return sum(
            received
            for local, _remote, _sent, received in list_queues()
            if local == self.port
        )


def list_queues() -> list[tuple[int, int, int, int]]:
    """Return the ports and the queued bytes of each TCP connection.

    These are the local and the remote port, the bytes sent and not yet
    accepted by the peer, and the bytes received and not yet read.
    """
    queues = []
    for row in Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = row.split()
        # The queue of a listening socket (state 0A) counts connections.
        if fields[3] != '0A':
            ports = [int(end.partition(':')[2], 16) for end in fields[1:3]]
            sizes = [int(size, 16) for size in fields[4].split(':')]
            queues.append((*ports, *sizes))
    return queues


@asynccontextmanager
async def measured(process, address: str):
    """Yield the usage of a process, sampled until the block ends.

    ``address`` is where it listens for callers, ``IP:PORT``.
    """
    usage = Usage(process.pid, int(address.rpartition(':')[2]))

    async def keep_sampling():
        while True:
            usage.sample()
            await asyncio.sleep(0.02)

    sampler = asyncio.create_task(keep_sampling())
    try:
        yield usage
    finally:
        sampler.cancel()
        with suppress(asyncio.CancelledError):
            await sampler


async def connect(address: str, *, receive_buffer: int = 0):
    """Open a connection of a caller, with a small receive buffer if given."""
    host, _, port = address.rpartition(':')
    sock = socket.socket()
    sock.setblocking(False)
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return sock


async def write_all(sock, text: bytes) -> None:
    """Write until the end, or until the gateway closes the connection."""
    loop = asyncio.get_running_loop()
    view = memoryview(text)
    with suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(CROWD_S):
            for start in range(0, len(view), PIECE_BYTES):
                await loop.sock_sendall(sock, view[start : start + PIECE_BYTES])
                await asyncio.sleep(0)
