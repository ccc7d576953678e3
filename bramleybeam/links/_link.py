"""One multiplexed connection to another process of the system."""

import asyncio
import itertools
import time
from typing import Final, Protocol

import attrs
import structlog

from bramleybeam.links._codec import FrameDecoder, encode_frame
from bramleybeam.links._frames import (
    Call,
    Frame,
    FrameError,
    Heartbeat,
    Hello,
    Reply,
)

HEARTBEAT_PERIOD_S: Final = 1.0
SILENCE_LIMIT_S: Final = 3.0
CALL_TIMEOUT_S: Final = 2.0
_WRITE_BUFFER_LIMIT_BYTES: Final = 8 << 20
_log = structlog.get_logger('links')


class LinkLost(Exception):  # noqa: N818
    """The connection ended before the reply came."""


@attrs.define
class LinkIdentity:
    """What a process says of itself on each of its connections.

    One instance is shared by all connections of the process, so that a new
    revision or the leaving mark shows on the next heartbeat of each.
    """

    process: str
    role: str
    zone: str
    incarnation: str
    key: str = ''
    revision: int = 0
    leaving: bool = False
    address: str = ''

    def hello(self) -> Hello:
        """Make the first frame of a connection."""
        return Hello(
            process=self.process,
            role=self.role,
            zone=self.zone,
            incarnation=self.incarnation,
            key=self.key,
            revision=self.revision,
            leaving=self.leaving,
            address=self.address,
        )


class LinkHandler(Protocol):
    """Receives what happens on the connections of a process."""

    def link_opened(self, link: 'Link') -> None:
        """The peer said hello; frames may be sent."""

    def frame_received(self, link: 'Link', frame: Frame) -> None:
        """A frame came that is not a reply to a call."""

    def link_lost(self, link: 'Link') -> None:
        """The connection ended, or was found silent."""


class Link(asyncio.Protocol):
    """Sends and receives frames, and notices when the peer goes silent.

    Frames sent within one turn of the event loop leave in one write.
    """

    def __init__(self, identity: LinkIdentity, handler: LinkHandler) -> None:
        """Store who speaks and who listens."""
        self.peer = Hello()
        self.opened = asyncio.get_running_loop().create_future()
        self.bytes_sent = 0
        self.bytes_received = 0
        self._identity = identity
        self._handler = handler
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._outgoing: list[bytes] = []
        self._calls: dict[int, asyncio.Future[Reply]] = {}
        self._call_ids = itertools.count(1)
        self._last_received = time.monotonic()
        self._greeted = False
        self._lost = False

    @property
    def is_open(self) -> bool:
        """Whether the peer is known and the connection is not lost."""
        return self._greeted and not self._lost

    @property
    def silent_for(self) -> float:
        """Seconds since anything was received."""
        return time.monotonic() - self._last_received

    @property
    def leaving(self) -> bool:
        """Whether the peer has said that it takes no new work."""
        return self.peer.leaving

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet the peer."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        self.send(self._identity.hello())
        self._watch_silence()

    def data_received(self, received: bytes) -> None:
        """Decode and hand on each frame; close on bad bytes."""
        self._last_received = time.monotonic()
        self.bytes_received += len(received)
        try:
            for frame in self._decoder.feed(received):
                self._receive(frame)
        except FrameError as error:
            _log.warning('bad_frame', peer=self.peer.process, error=str(error))
            self.close()

    def connection_lost(self, _error: Exception | None) -> None:
        """Fail the calls that wait and tell the handler."""
        self._fail()

    def send(self, frame: Frame) -> None:
        """Queue a frame; it leaves at the end of this loop turn."""
        if self._lost or self._transport is None:
            return
        if not self._outgoing:
            asyncio.get_running_loop().call_soon(self._flush)
        self._outgoing.append(encode_frame(frame))

    async def call(
        self,
        topic: str,
        body: bytes,
        timeout: float = CALL_TIMEOUT_S,
    ) -> Reply:
        """Send a call and wait for its reply.

        Raises ``LinkLost`` when the connection ends first, ``TimeoutError``
        when no reply comes within ``timeout`` seconds.
        """
        if self._lost:
            raise LinkLost(self.peer.process)
        call_id = next(self._call_ids)
        waiter = asyncio.get_running_loop().create_future()
        self._calls[call_id] = waiter
        self.send(Call(call_id=call_id, topic=topic, body=body))
        try:
            return await asyncio.wait_for(waiter, timeout)
        finally:
            self._calls.pop(call_id, None)

    def send_heartbeat(self) -> None:
        """Tell the peer the revision in force and whether this one leaves."""
        self.send(
            Heartbeat(
                revision=self._identity.revision,
                leaving=self._identity.leaving,
            ),
        )

    def close(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()
        self._fail()

    def _receive(self, frame: Frame) -> None:
        if not self._greeted:
            self._greet(frame)
            return
        match frame:
            case Heartbeat():
                self.peer.revision = frame.revision
                self.peer.leaving = frame.leaving
                self._handler.frame_received(self, frame)
            case Reply():
                waiter = self._calls.get(frame.call_id)
                if waiter is not None and not waiter.done():
                    waiter.set_result(frame)
            case _:
                self._handler.frame_received(self, frame)

    def _greet(self, frame: Frame) -> None:
        if not isinstance(frame, Hello):
            raise FrameError('the first frame must be a hello')
        if frame.key != self._identity.key:
            raise FrameError('the peer key does not match; set peer_key alike')
        self._decoder.raise_limit()
        self.peer = frame
        self._greeted = True
        if not self.opened.done():
            self.opened.set_result(None)
        self._handler.link_opened(self)

    def _flush(self) -> None:
        transport = self._transport
        if self._lost or transport is None:
            return
        outgoing = b''.join(self._outgoing)
        self._outgoing.clear()
        self.bytes_sent += len(outgoing)
        transport.write(outgoing)
        if transport.get_write_buffer_size() > _WRITE_BUFFER_LIMIT_BYTES:
            _log.warning('peer_reads_too_slowly', peer=self.peer.process)
            self.close()

    def _watch_silence(self) -> None:
        if self._lost:
            return
        if self.silent_for > SILENCE_LIMIT_S:
            _log.warning('link_silent', peer=self.peer.process)
            self.close()
            return
        if self._greeted:
            self.send_heartbeat()
        loop = asyncio.get_running_loop()
        loop.call_later(HEARTBEAT_PERIOD_S, self._watch_silence)

    def _fail(self) -> None:
        if self._lost:
            return
        self._lost = True
        lost = LinkLost(self.peer.process)
        for waiter in self._calls.values():
            if not waiter.done():
                waiter.set_exception(lost)
        if not self.opened.done():
            self.opened.set_exception(lost)
            self.opened.exception()
        if self._greeted:
            self._handler.link_lost(self)
