"""Links of a given rate between gateways, and from gateways to the store.

All traffic between a gateway and the store or its peers passes one link
direction, outbound or inbound. Datagrams that would be queued too long are
dropped; streams are delayed.
"""

import asyncio
import random
import socket
from collections.abc import Callable

import attrs

# Datagrams that would be queued for longer are dropped.
_MAX_DATAGRAM_WAIT_S = 1.0
_CHUNK_BYTES = 4096
# Interval between checks whether bytes may pass again.
_CUT_POLL_S = 0.02


@attrs.define
class LinkDirection:
    """One direction of a host's link; ``bytes_per_s`` is its rate."""

    bytes_per_s: float
    carried_bytes: int = 0
    dropped_datagrams: int = 0
    _free_at: float = 0

    @property
    def backlog_s(self) -> float:
        """Queueing delay of data that is sent now, in seconds."""
        return max(0, self._free_at - asyncio.get_running_loop().time())

    def pass_datagram(self, size: int, arrive: Callable[[], None]) -> None:
        """Call ``arrive`` when a datagram has passed, unless it is dropped."""
        if self.backlog_s > _MAX_DATAGRAM_WAIT_S:
            self.dropped_datagrams += 1
            return
        asyncio.get_running_loop().call_at(self._schedule(size), arrive)

    async def pass_chunk(self, size: int) -> None:
        """Wait until a chunk of a stream has passed."""
        due_at = self._schedule(size)
        await asyncio.sleep(due_at - asyncio.get_running_loop().time())

    def _schedule(self, size: int) -> float:
        now = asyncio.get_running_loop().time()
        self.carried_bytes += size
        self._free_at = max(now, self._free_at) + size / self.bytes_per_s
        return self._free_at


class HostLink:
    """The link of one gateway's host, with a TCP relay to the store.

    While ``is_cut`` no bytes pass between the gateway and the store. While
    ``is_refusing`` every new connection to the store is reset. While
    ``is_isolated`` no datagrams pass between the gateway and its peers.
    """

    def __init__(self, bytes_per_s: float, store_address: str) -> None:
        """Use one rate for both directions; take the store's address."""
        self.outbound = LinkDirection(bytes_per_s)
        self.inbound = LinkDirection(bytes_per_s)
        self._store_address = store_address
        self.is_cut = False
        self.is_refusing = False
        self.is_isolated = False
        self._stalled: set[asyncio.Task] = set()
        self._pumps: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    @property
    def store_address(self) -> str:
        """Address of the relay to the store, ``IP:PORT``."""
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def start(self) -> None:
        """Start the relay to the store."""
        self._server = await asyncio.start_server(
            self._relay, '127.0.0.1', 0, backlog=256
        )

    def close(self) -> None:
        """Stop the relay; open connections stay open."""
        self._server.close()

    def refuse_store(self) -> None:
        """Reset the open connections to the store, and all new ones."""
        self.is_refusing = True
        for pump in tuple(self._pumps):
            pump.cancel()

    def stall_open_connections(self) -> None:
        """Pass no more bytes on the connections that are open now."""
        self._stalled |= self._pumps

    async def _relay(self, gateway_reader, gateway_writer) -> None:
        if self.is_refusing:
            gateway_writer.transport.abort()
            return
        host, _, port = self._store_address.rpartition(':')
        store_reader, store_writer = await asyncio.open_connection(
            host, int(port)
        )
        pumps = [
            asyncio.create_task(
                self._pump(gateway_reader, store_writer, self.outbound)
            ),
            asyncio.create_task(
                self._pump(store_reader, gateway_writer, self.inbound)
            ),
        ]
        self._pumps.update(pumps)
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._pumps.difference_update(pumps)
            self._stalled.difference_update(pumps)
            for pump in pumps:
                pump.cancel()
            gateway_writer.transport.abort()
            store_writer.transport.abort()

    async def _pump(self, reader, writer, direction: LinkDirection) -> None:
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                await direction.pass_chunk(len(chunk))
                while self.is_cut or asyncio.current_task() in self._stalled:
                    await asyncio.sleep(_CUT_POLL_S)
                writer.write(chunk)
                await writer.drain()
        except ConnectionError:
            return


class DatagramRelay:
    """Relays datagrams between gateways over the links of their hosts.

    Each gateway has a public address at the relay. Its peers read this address
    in the store and see it as the sender. ``links`` maps the IP address of a
    host to its link; ``loss`` is the share of datagrams that are dropped,
    ``repeats`` the share of those that arrive once more, up to ``repeat_after_s``
    later.
    """

    def __init__(self, links: dict[str, HostLink]) -> None:
        """Create a relay without public addresses."""
        self.loss = 0.0
        self.repeats = 0.0
        self.repeat_after_s = 1.0
        self._rng = random.Random(1)
        self._links = links
        self._ports: dict[str, _PublicPort] = {}

    def publish(self, address: str) -> str:
        """Return the public address of a gateway; open it when first used."""
        if address not in self._ports:
            link = self._links[address.partition(':')[0]]
            self._ports[address] = _PublicPort(self, address, link)
        return self._ports[address].public_address

    def sender_of(self, address: str) -> '_PublicPort | None':
        """Return a gateway's port, or None if its datagram is dropped."""
        is_lost = self._rng.random() < self.loss
        return None if is_lost else self._ports.get(address)

    def draw_repeat_s(self) -> float | None:
        """Return when a datagram arrives again, None if it doesn't."""
        if not self.repeats or self._rng.random() >= self.repeats:
            return None
        return self._rng.uniform(0, self.repeat_after_s)

    def close(self) -> None:
        """Close all public addresses."""
        for port in self._ports.values():
            port.close()


class _PublicPort(asyncio.DatagramProtocol):
    def __init__(
        self, relay: DatagramRelay, address: str, link: HostLink
    ) -> None:
        self._relay = relay
        self._address = address
        self._link = link
        self._socket = socket.socket(type=socket.SOCK_DGRAM)
        self._socket.bind(('127.0.0.1', 0))
        self._socket.setblocking(False)
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._read)

    @property
    def public_address(self) -> str:
        host, port = self._socket.getsockname()
        return f'{host}:{port}'

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def _read(self) -> None:
        datagram, (host, port) = self._socket.recvfrom(65536)
        sender = self._relay.sender_of(f'{host}:{port}')
        if sender is None or sender is self:
            return
        if sender._link.is_isolated or self._link.is_isolated:
            return
        self._pass_on(datagram, sender)
        repeat_s = self._relay.draw_repeat_s()
        if repeat_s is not None:
            asyncio.get_running_loop().call_later(
                repeat_s, self._pass_on, datagram, sender
            )

    def _pass_on(self, datagram: bytes, sender: '_PublicPort') -> None:
        size = len(datagram)
        sender._link.outbound.pass_datagram(
            size,
            lambda: self._link.inbound.pass_datagram(
                size, lambda: sender._deliver(datagram, self._address)
            ),
        )

    def _deliver(self, datagram: bytes, address: str) -> None:
        host, _, port = address.rpartition(':')
        if self._socket.fileno() >= 0:
            self._socket.sendto(datagram, (host, int(port)))
