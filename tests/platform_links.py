"""Links of a given rate between gateways, and from them to the store.

Everything that a gateway sends to the store or to its peers, and everything
that comes from there, passes one lane for each direction. Datagrams that
would wait too long are dropped; streams wait.
"""

import asyncio
import random
import socket
from collections.abc import Callable

import attrs

# Longest wait of a datagram at a full link.
_LONGEST_WAIT_S = 1.0
_PIECE_BYTES = 4096
_CUT_POLL_S = 0.02


@attrs.define
class Lane:
    """One direction of a machine's link; ``bytes_per_s`` is its rate."""

    bytes_per_s: float
    carried: int = 0
    dropped: int = 0
    _free_at: float = 0

    @property
    def backlog_s(self) -> float:
        """How long what is sent now has to wait."""
        return max(0, self._free_at - asyncio.get_running_loop().time())

    def pass_datagram(self, size: int, arrive: Callable[[], None]) -> None:
        """Call ``arrive`` when a datagram has passed, unless it is lost."""
        if self.backlog_s > _LONGEST_WAIT_S:
            self.dropped += 1
            return
        asyncio.get_running_loop().call_at(self._take(size), arrive)

    async def pass_piece(self, size: int) -> None:
        """Wait until a piece of a stream has passed."""
        due = self._take(size)
        await asyncio.sleep(due - asyncio.get_running_loop().time())

    def _take(self, size: int) -> float:
        now = asyncio.get_running_loop().time()
        self.carried += size
        self._free_at = max(now, self._free_at) + size / self.bytes_per_s
        return self._free_at


class MachineLink:
    """The link of one gateway's machine, with a relay to the store.

    While ``is_cut`` nothing passes between the gateway and the store, and
    while ``is_refused`` each of its connections there is reset.
    """

    def __init__(self, bytes_per_s: float, store_address: str) -> None:
        """Store the rate of each direction and where the store is."""
        self.out = Lane(bytes_per_s)
        self.inward = Lane(bytes_per_s)
        self._store_address = store_address
        self.is_cut = False
        self.is_refused = False
        self._silenced: set[asyncio.Task] = set()
        self._pumps: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    @property
    def store_address(self) -> str:
        """Where the gateway reaches the store, ``IP:PORT``."""
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def start(self) -> None:
        """Open the relay to the store."""
        self._server = await asyncio.start_server(
            self._relay, '127.0.0.1', 0, backlog=256
        )

    def close(self) -> None:
        """Close the relay."""
        self._server.close()

    def silence_open(self) -> None:
        """Let nothing more pass on the connections that are open now."""
        self._silenced |= self._pumps

    async def _relay(self, near_reader, near_writer) -> None:
        if self.is_refused:
            near_writer.transport.abort()
            return
        host, _, port = self._store_address.rpartition(':')
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        pumps = [
            asyncio.create_task(self._pump(near_reader, far_writer, self.out)),
            asyncio.create_task(
                self._pump(far_reader, near_writer, self.inward)
            ),
        ]
        self._pumps.update(pumps)
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._pumps.difference_update(pumps)
            self._silenced.difference_update(pumps)
            for pump in pumps:
                pump.cancel()
            near_writer.transport.abort()
            far_writer.transport.abort()

    async def _pump(self, reader, writer, lane: Lane) -> None:
        try:
            while piece := await reader.read(_PIECE_BYTES):
                await lane.pass_piece(len(piece))
                while self.is_cut or asyncio.current_task() in self._silenced:
                    await asyncio.sleep(_CUT_POLL_S)
                writer.write(piece)
                await writer.drain()
        except ConnectionError:
            return


class PeerRelay:
    """Carries datagrams between gateways over their machines' links.

    Each gateway has a public address here, which stands for its own in what
    its peers read in the store and see as the sender. ``links`` are by the
    IP address of the machine, ``loss`` the share of datagrams that are lost.
    """

    def __init__(self, links: dict[str, MachineLink]) -> None:
        """Start without gateways."""
        self.loss = 0.0
        self._rng = random.Random(1)
        self._links = links
        self._ports: dict[str, _PublicPort] = {}

    def publish(self, address: str) -> str:
        """Return the public address of a gateway at ``address``."""
        if address not in self._ports:
            link = self._links[address.partition(':')[0]]
            self._ports[address] = _PublicPort(self, address, link)
        return self._ports[address].public

    def sender_of(self, address: str) -> '_PublicPort | None':
        """Return the port of a gateway, unless its datagram is lost."""
        is_lost = self._rng.random() < self.loss
        return None if is_lost else self._ports.get(address)

    def close(self) -> None:
        """Close all public addresses."""
        for port in self._ports.values():
            port.close()


class _PublicPort(asyncio.DatagramProtocol):
    def __init__(
        self, relay: PeerRelay, address: str, link: MachineLink
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
    def public(self) -> str:
        host, port = self._socket.getsockname()
        return f'{host}:{port}'

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def _read(self) -> None:
        received, (host, port) = self._socket.recvfrom(65536)
        sender = self._relay.sender_of(f'{host}:{port}')
        if sender is None or sender is self:
            return
        size = len(received)
        sender._link.out.pass_datagram(
            size,
            lambda: self._link.inward.pass_datagram(
                size, lambda: sender._deliver(received, self._address)
            ),
        )

    def _deliver(self, received: bytes, address: str) -> None:
        host, _, port = address.rpartition(':')
        if self._socket.fileno() >= 0:
            self._socket.sendto(received, (host, int(port)))
