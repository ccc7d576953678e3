"""HTTP/1.1 server for callers.

The requests of a connection are handled one after the other. The handler's
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
from bramleybeam.relay._request_parser import (
    RequestParser,
    UnreadableRequestError,
)
from bramleybeam.relay._restartable_timer import RestartableTimer

# Reading pauses when more pipelined requests than this wait on a connection.
_MAX_QUEUED_REQUESTS: Final = 4
_CLOSE_POLL_S: Final = 0.02
_LAST_CHUNK: Final = b'0\r\n\r\n'
_log = structlog.get_logger('callers')

Handler = Callable[[InboundRequest, 'CallerConnection'], Awaitable[None]]


class CallerConnection(asyncio.Protocol):
    """Runs the handler for each request and writes its response.

    The handler writes a whole response with ``respond``, or a chunked one
    with ``start``, ``write_chunk`` and ``finish``.
    """

    def __init__(self, owner: 'CallerServer') -> None:
        """Store the server, which has the handler and the limits."""
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser(owner.limits, owner.now)
        self._queue: deque[InboundRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._timer = RestartableTimer(self._on_timeout)
        self._writable = asyncio.Event()
        self._writable.set()
        self._response_started = False
        self._keep_alive = True
        self._closing = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is being handled or queued."""
        return self._task is not None or bool(self._queue)

    @property
    def response_started(self) -> bool:
        """Whether a part of the current response has been written."""
        return self._response_started

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the idle timer."""
        self._transport = transport  # type: ignore[assignment]
        self._owner.connections.add(self)
        self._start_timer()

    def data_received(self, received: bytes) -> None:
        """Parse received bytes and queue the complete requests."""
        if self._closing:
            return
        self._parser.limits = self._owner.limits
        was_mid_head = self._parser.is_mid_head
        try:
            requests = self._parser.feed(received)
        except UnreadableRequestError as error:
            self._reject(error.status, str(error))
            return
        self._queue.extend(requests)
        if len(self._queue) > _MAX_QUEUED_REQUESTS and self._transport:
            self._transport.pause_reading()
        # A head that arrives in parts does not restart its timer.
        if not (was_mid_head and self._parser.is_mid_head):
            self._start_timer()
        self._start_next()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler and drop queued requests."""
        self._owner.connections.discard(self)
        self._timer.stop()
        self._closing = True
        self._queue.clear()
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Block writes while the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock writes."""
        self._writable.set()

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole response."""
        length = (b'content-length', str(len(body)).encode())
        self._write(self._build_head(status, headers, length) + body)

    def start(self, status: int, headers: Headers) -> None:
        """Write the head of a chunked response."""
        framing = (b'transfer-encoding', b'chunked')
        self._write(self._build_head(status, headers, framing))

    async def write_chunk(self, chunk: bytes) -> None:
        """Write a chunk; waits while the write buffer is full."""
        await self._writable.wait()
        size = b'%x\r\n' % len(chunk)
        self._write(b''.join((size, chunk, b'\r\n')))

    def finish(self) -> None:
        """Write the last chunk of a chunked response."""
        self._write(_LAST_CHUNK)

    def abort_response(self) -> None:
        """Abort the connection, so that the response is seen as incomplete."""
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

    def shut_down(self, *, immediately: bool) -> None:
        """Close after the current response, or ``immediately``.

        An immediate close answers a request that has no part of its response
        yet with status 502.
        """
        self._closing = True
        if self._transport is None or (self.is_busy and not immediately):
            return
        if self._task is not None:
            if self._response_started:
                self._transport.abort()
                return
            self.respond(HTTPStatus.BAD_GATEWAY, (), b'')
        self._transport.close()

    def _build_head(
        self,
        status: int,
        headers: Headers,
        framing: tuple[bytes, bytes],
    ) -> bytes:
        """Return the encoded head of a response.

        ``framing`` is the header that delimits the body. The connection is
        marked for closing if the server is closing or the caller asked so.
        """
        self._response_started = True
        response_headers = (*end_to_end_headers(headers), framing)
        if self._owner.is_closing or not self._keep_alive:
            self._closing = True
        if self._closing:
            response_headers = (*response_headers, (b'connection', b'close'))
        return render_head(
            b'HTTP/1.1 %d %s' % (status, _reason_phrase(status)),
            response_headers,
        )

    def _write(self, encoded: bytes) -> None:
        """Write bytes unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encoded)

    def _reject(self, status: int, reason: str) -> None:
        """Respond to a bad request and close the connection.

        While earlier requests are handled or queued, the connection closes
        after their responses, without a response to the bad request.
        """
        _log.warning('request_unreadable', status=status, reason=reason)
        self._closing = True
        if not self.is_busy and self._transport is not None:
            self.respond(status, (), b'')
            self._transport.close()

    def _start_next(self) -> None:
        """Handle the next queued request unless one is being handled."""
        if self._task is not None or not self._queue:
            return
        request = self._queue.popleft()
        if self._transport is not None and not self._queue:
            self._transport.resume_reading()
        self._keep_alive = request.keep_alive
        self._response_started = False
        self._task = asyncio.create_task(self._run(request))

    async def _run(self, request: InboundRequest) -> None:
        """Run the handler; abort the connection if it fails or is cancelled."""
        try:
            await self._owner.handler(request, self)
        except asyncio.CancelledError:
            if not self._closing:
                self.abort_response()
        except Exception:
            _log.exception('handler_failed', target=request.path)
            self.abort_response()
        finally:
            self._task = None
            self._after_response()

    def _after_response(self) -> None:
        """Close the connection or continue with the next request."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._closing and not self._queue:
            transport.close()
            return
        self._start_timer()
        self._start_next()

    def _start_timer(self) -> None:
        """Limit the wait for a request, or for the rest of one."""
        limits = self._owner.limits
        delay = limits.idle_timeout_s
        if self._parser.is_mid_request:
            delay = limits.header_timeout_s
        self._timer.start(delay)

    def _on_timeout(self) -> None:
        """Close an idle connection; reject an incomplete request with 408."""
        if self.is_busy or self._transport is None:
            return
        if self._parser.is_mid_request:
            self._reject(HTTPStatus.REQUEST_TIMEOUT, 'request incomplete')
        else:
            self._transport.close()


class CallerServer:
    """Listens at one address and calls one handler for each request.

    ``limits`` may be replaced while it runs; open connections then use the
    new limits too.
    """

    def __init__(self, address: str, handler: Handler) -> None:
        """Store the address to listen at, ``IP:PORT``, and the handler."""
        self.address = address
        self.handler = handler
        self.limits = RequestLimits()
        self.connections: set[CallerConnection] = set()
        self.is_closing = False
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Open the port; ``address`` then has the actual port number."""
        host, _, port = self.address.rpartition(':')
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self),
            host,
            int(port),
            backlog=1024,
        )
        bound = self._server.sockets[0].getsockname()
        self.address = f'{bound[0]}:{bound[1]}'

    def now(self) -> float:
        """Return the time of the running loop, in seconds."""
        return asyncio.get_running_loop().time()

    def announce_close(self) -> None:
        """Send ``Connection: close`` with each further response."""
        self.is_closing = True

    def stop_listening(self) -> None:
        """Accept no new connections and close idle ones."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.shut_down(immediately=False)

    async def close(self, grace: float) -> None:
        """Wait up to ``grace`` seconds for current responses, then close."""
        self.announce_close()
        self.stop_listening()
        deadline = self.now() + grace
        while self.connections and self.now() < deadline:
            await asyncio.sleep(_CLOSE_POLL_S)
        for connection in tuple(self.connections):
            connection.shut_down(immediately=True)
        await asyncio.sleep(_CLOSE_POLL_S)


def _reason_phrase(status: int) -> bytes:
    """Return the reason phrase of a status code."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Unknown'
