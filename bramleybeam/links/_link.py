"""A multiplexed connection to another Bramleybeam process."""

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
# A link that receives nothing for this time is closed.
RECEIVE_TIMEOUT_S: Final = 3.0
# Default time to wait for the reply to a call.
CALL_TIMEOUT_S: Final = 2.0
# A link with more unsent bytes than this is closed.
_WRITE_BUFFER_LIMIT_BYTES: Final = 8 << 20
_log = structlog.get_logger('links')


class LinkLost(Exception):  # noqa: N818
    """The connection failed, or ended before the reply arrived."""


@attrs.define
class LinkIdentity:
    """The identity that a process sends on each of its links.

    All links of the process share one instance, so that the next heartbeat on
    each link reports a new ``revision`` or ``leaving``. ``leaving`` means that
    the process is shutting down and refuses new requests.
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
        """Return the first frame of a connection."""
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
    """Receives the events of the links of a process."""

    def link_opened(self, link: 'Link') -> None:
        """Handle the peer's hello; frames can be sent from now on."""

    def frame_received(self, link: 'Link', frame: Frame) -> None:
        """Handle a frame other than the hello or a reply to a call."""

    def link_lost(self, link: 'Link') -> None:
        """Handle the end of a link, also after ``RECEIVE_TIMEOUT_S``."""


class Link(asyncio.Protocol):
    """Sends and receives frames, and detects a peer that stops responding.

    Frames sent in one iteration of the event loop are sent in one write.
    """

    def __init__(self, identity: LinkIdentity, handler: LinkHandler) -> None:
        """Store the identity to send and the handler of received frames."""
        self.peer = Hello()
        self.opened = asyncio.get_running_loop().create_future()
        self.bytes_sent = 0
        self.bytes_received = 0
        self._identity = identity
        self._handler = handler
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._outgoing: list[bytes] = []
        self._pending_calls: dict[int, asyncio.Future[Reply]] = {}
        self._call_ids = itertools.count(1)
        self._last_received_at = time.monotonic()
        self._handshake_done = False
        self._lost = False

    @property
    def is_open(self) -> bool:
        """Whether the peer's hello has arrived and the link is not lost."""
        return self._handshake_done and not self._lost

    @property
    def seconds_since_receive(self) -> float:
        """Time since the last bytes were received, in seconds."""
        return time.monotonic() - self._last_received_at

    @property
    def leaving(self) -> bool:
        """Whether the peer has reported that it refuses new requests."""
        return self.peer.leaving

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the hello and start the heartbeat."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        self.send(self._identity.hello())
        self._run_heartbeat()

    def data_received(self, received: bytes) -> None:
        """Decode and handle each frame; close the link on invalid bytes."""
        self._last_received_at = time.monotonic()
        self.bytes_received += len(received)
        try:
            for frame in self._decoder.feed(received):
                self._handle_frame(frame)
        except FrameError as error:
            _log.warning('bad_frame', peer=self.peer.process, error=str(error))
            self.close()

    def connection_lost(self, _error: Exception | None) -> None:
        """Fail the pending calls and notify the handler."""
        self._handle_lost()

    def send(self, frame: Frame) -> None:
        """Queue a frame; it is written in the next event loop iteration."""
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
        """Send a call and return its reply.

        Raises ``LinkLost`` when the connection ends first and ``TimeoutError``
        when no reply arrives within ``timeout`` seconds.
        """
        if self._lost:
            raise LinkLost(self.peer.process)
        call_id = next(self._call_ids)
        reply_future = asyncio.get_running_loop().create_future()
        self._pending_calls[call_id] = reply_future
        self.send(Call(call_id=call_id, topic=topic, body=body))
        try:
            return await asyncio.wait_for(reply_future, timeout)
        finally:
            self._pending_calls.pop(call_id, None)

    def send_heartbeat(self) -> None:
        """Report the current ``revision`` and ``leaving`` to the peer."""
        self.send(
            Heartbeat(
                revision=self._identity.revision,
                leaving=self._identity.leaving,
            ),
        )

    def close(self) -> None:
        """Close the connection immediately, without sending queued frames."""
        if self._transport is not None:
            self._transport.abort()
        self._handle_lost()

    def _handle_frame(self, frame: Frame) -> None:
        if not self._handshake_done:
            self._complete_handshake(frame)
            return
        match frame:
            case Heartbeat():
                self.peer.revision = frame.revision
                self.peer.leaving = frame.leaving
                self._handler.frame_received(self, frame)
            case Reply():
                reply_future = self._pending_calls.get(frame.call_id)
                if reply_future is not None and not reply_future.done():
                    reply_future.set_result(frame)
            case _:
                self._handler.frame_received(self, frame)

    def _complete_handshake(self, frame: Frame) -> None:
        if not isinstance(frame, Hello):
            raise FrameError('the first frame must be a hello')
        if frame.key != self._identity.key:
            raise FrameError(
                'the peer key does not match; set the same peer_key'
            )
        self._decoder.raise_limit()
        self.peer = frame
        self._handshake_done = True
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

    def _run_heartbeat(self) -> None:
        if self._lost:
            return
        if self.seconds_since_receive > RECEIVE_TIMEOUT_S:
            _log.warning('link_silent', peer=self.peer.process)
            self.close()
            return
        if self._handshake_done:
            self.send_heartbeat()
        loop = asyncio.get_running_loop()
        loop.call_later(HEARTBEAT_PERIOD_S, self._run_heartbeat)

    def _handle_lost(self) -> None:
        if self._lost:
            return
        self._lost = True
        lost = LinkLost(self.peer.process)
        for reply_future in self._pending_calls.values():
            if not reply_future.done():
                reply_future.set_exception(lost)
        if not self.opened.done():
            self.opened.set_exception(lost)
            self.opened.exception()
        if self._handshake_done:
            self._handler.link_lost(self)
