"""A small fault-injecting TCP proxy."""

import asyncio
from enum import StrEnum

import attrs


class Fault(StrEnum):
    """What the proxy does to the connections that are open."""

    NONE = 'none'
    SILENT = 'silent'
    SILENT_FORWARD = 'silent_forward'
    SILENT_BACKWARD = 'silent_backward'


@attrs.define(eq=False)
class _Pair:
    client: asyncio.StreamWriter
    server: asyncio.StreamWriter
    fault: Fault = Fault.NONE


class FaultProxy:
    """Forwards to ``target``; open connections can be cut or go silent.

    A fault strikes the connections that are open; new ones work, as when a
    machine in between has lost track of them. ``delay`` is in seconds.
    """

    def __init__(self, target: str) -> None:
        """Store the address ``IP:PORT`` to forward to."""
        self.target = target
        self.address = ''
        self.delay = 0.0
        self.cut_pairs = 0
        self.refusing = False
        self._pairs: set[_Pair] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def url(self) -> str:
        """Address as a URL."""
        return f'http://{self.address}'

    async def start(self) -> 'FaultProxy':
        """Open a port that the system chooses."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        return self

    async def close(self) -> None:
        """Close the port and every connection."""
        if self._server is not None:
            self._server.close()
        self.cut()
        for task in tuple(self._tasks):
            task.cancel()

    def cut(self) -> int:
        """Reset the open connections; return how many there were."""
        count = len(self._pairs)
        for pair in tuple(self._pairs):
            pair.client.transport.abort()
            pair.server.transport.abort()
        return count

    def silence(self, fault: Fault = Fault.SILENT) -> int:
        """Let the open connections go silent for good."""
        for pair in self._pairs:
            pair.fault = fault
        return len(self._pairs)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.refusing:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(':')
        try:
            back_reader, back_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair(writer, back_writer)
        self._pairs.add(pair)
        forward = self._pump(pair, reader, back_writer, Fault.SILENT_FORWARD)
        backward = self._pump(pair, back_reader, writer, Fault.SILENT_BACKWARD)
        for work in (forward, backward):
            task = asyncio.create_task(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        one_way: Fault,
    ) -> None:
        try:
            while received := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if pair.fault not in {Fault.SILENT, one_way}:
                    writer.write(received)
                    await writer.drain()
        except OSError:
            self.cut_pairs += 1
        finally:
            if pair.fault == Fault.NONE:
                self._pairs.discard(pair)
                writer.transport.abort()
