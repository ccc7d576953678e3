"""The server's side of one caller's connection.

Requests of one connection are handled one after the other. The handler's
task is cancelled when the caller closes the connection.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final

import structlog

from bramleybeam.catalog import RequestLimits
from bramleybeam.relay._messages import (
    Headers,
    InboundRequest,
    end_to_end_headers,
    render_head,
)
from bramleybeam.relay._parser import (
    RequestParser,
    UnreadableRequestError,
)

_MAX_QUEUED_REQUESTS: Final = 4
_CLOSE_POLL_S: Final = 0.02
_END_OF_CHUNKS: Final = b'0\r\n\r\n'
_log = structlog.get_logger('callers')

Handler = Callable[[InboundRequest, 'CallerConnection'], Awaitable[None]]


class CallerConnection(asyncio.Protocol):
    """Runs the handler for each request and writes its answer."""

    def __init__(self, owner: 'CallerServer') -> None:
        """Store the server that holds the handler and the limits."""
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser(owner.limits, owner.now)
        self._queue: deque[InboundRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._timer = _Timer(self._on_timeout)
        self._writable = asyncio.Event()
        self._writable.set()
        self._answer_started = False
        self._keep_alive = True
        self._closing = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is being handled or waits to be."""
        return self._task is not None or bool(self._queue)

    @property
    def answer_started(self) -> bool:
        """Whether a part of the current answer has been written."""
        return self._answer_started

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        self._transport = transport  # type: ignore[assignment]
        self._owner.connections.add(self)
        self._start_timer()

    def data_received(self, received: bytes) -> None:
        """Queue the requests that have come whole."""
        if self._closing:
            return
        self._parser.limits = self._owner.limits
        was_within_head = self._parser.is_within_head
        try:
            requests = self._parser.feed(received)
        except UnreadableRequestError as error:
            self._reject(error.status, str(error))
            return
        self._queue.extend(requests)
        if len(self._queue) > _MAX_QUEUED_REQUESTS and self._transport:
            self._transport.pause_reading()
        # The time for a head is not extended by each of its pieces.
        if not (was_within_head and self._parser.is_within_head):
            self._start_timer()
        self._start_next()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the work for a caller that has left."""
        self._owner.connections.discard(self)
        self._timer.stop()
        self._closing = True
        self._queue.clear()
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Hold pieces back: the caller doesn't read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let pieces pass again."""
        self._writable.set()

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole answer."""
        length = (b'content-length', str(len(body)).encode())
        self._write(self._render(status, headers, length) + body)

    def start(self, status: int, headers: Headers) -> None:
        """Write the head of an answer that is sent in pieces."""
        framing = (b'transfer-encoding', b'chunked')
        self._write(self._render(status, headers, framing))

    async def write_piece(self, piece: bytes) -> None:
        """Write a piece, waiting while the caller doesn't read."""
        await self._writable.wait()
        size = b'%x\r\n' % len(piece)
        self._write(b''.join((size, piece, b'\r\n')))

    def finish(self) -> None:
        """Mark an answer sent in pieces as whole."""
        self._write(_END_OF_CHUNKS)

    def break_off(self) -> None:
        """Close without the mark of a whole answer."""
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

    def end(self, *, at_once: bool) -> None:
        """Close after the answer under way, or ``at_once``.

        A request that has no part of its answer yet is told so.
        """
        self._closing = True
        if self._transport is None or (self.is_busy and not at_once):
            return
        if self._task is not None:
            if self._answer_started:
                self._transport.abort()
                return
            self.respond(HTTPStatus.BAD_GATEWAY, (), b'')
        self._transport.close()

    def _render(
        self,
        status: int,
        headers: Headers,
        framing: tuple[bytes, bytes],
    ) -> bytes:
        self._answer_started = True
        passed = (*end_to_end_headers(headers), framing)
        if self._owner.is_closing or not self._keep_alive:
            self._closing = True
        if self._closing:
            passed = (*passed, (b'connection', b'close'))
        return render_head(
            b'HTTP/1.1 %d %s' % (status, _phrase_of(status)),
            passed,
        )

    def _write(self, written: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(written)

    def _reject(self, status: int, reason: str) -> None:
        _log.warning('request_unreadable', status=status, reason=reason)
        self._closing = True
        if not self.is_busy and self._transport is not None:
            self.respond(status, (), b'')
            self._transport.close()

    def _start_next(self) -> None:
        if self._task is not None or not self._queue:
            return
        request = self._queue.popleft()
        if self._transport is not None and not self._queue:
            self._transport.resume_reading()
        self._keep_alive = request.keep_alive
        self._answer_started = False
        self._task = asyncio.create_task(self._run(request))

    async def _run(self, request: InboundRequest) -> None:
        try:
            await self._owner.handler(request, self)
        except asyncio.CancelledError:
            if not self._closing:
                self.break_off()
        except Exception:
            _log.exception('handler_failed', target=request.path)
            self.break_off()
        finally:
            self._task = None
            self._after_answer()

    def _after_answer(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._closing and not self._queue:
            transport.close()
            return
        self._start_timer()
        self._start_next()

    def _start_timer(self) -> None:
        """Bound the wait for a request, or for the rest of one."""
        limits = self._owner.limits
        delay = limits.idle_timeout_s
        if self._parser.is_within:
            delay = limits.header_timeout_s
        self._timer.start(delay)

    def _on_timeout(self) -> None:
        if self.is_busy or self._transport is None:
            return
        if self._parser.is_within:
            self._reject(HTTPStatus.REQUEST_TIMEOUT, 'request not read whole')
        else:
            self._transport.close()


class _Timer:
    """Calls back once, unless it is started again or stopped before."""

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None

    def start(self, delay: float) -> None:
        self.stop()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(delay, self._callback)

    def stop(self) -> None:
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None


class CallerServer:
    """Listens at one address and hands requests to one handler.

    ``limits`` may be replaced while it runs; open connections follow.
    """

    def __init__(self, address: str, handler: Handler) -> None:
        """Store where to listen, ``IP:PORT``, and who answers."""
        self.address = address
        self.handler = handler
        self.limits = RequestLimits()
        self.connections: set[CallerConnection] = set()
        self.is_closing = False
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Open the port; ``address`` then holds the chosen one."""
        host, _, port = self.address.rpartition(':')
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self),
            host,
            int(port),
            backlog=1024,
        )
        chosen = self._server.sockets[0].getsockname()
        self.address = f'{chosen[0]}:{chosen[1]}'

    def now(self) -> float:
        """Return the time of the running loop, in seconds."""
        return asyncio.get_running_loop().time()

    def announce_close(self) -> None:
        """Let each further answer be the last on its connection."""
        self.is_closing = True

    def stop_listening(self) -> None:
        """Take no new connections and close idle ones."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.end(at_once=False)

    async def close(self, grace: float) -> None:
        """Wait up to ``grace`` seconds for answers under way, then end."""
        self.announce_close()
        self.stop_listening()
        deadline = self.now() + grace
        while self.connections and self.now() < deadline:
            await asyncio.sleep(_CLOSE_POLL_S)
        for connection in tuple(self.connections):
            connection.end(at_once=True)
        await asyncio.sleep(_CLOSE_POLL_S)


def _phrase_of(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Unknown'
