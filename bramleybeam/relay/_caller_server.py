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
from bramleybeam.relay._messages import InboundRequest
from bramleybeam.relay._request_parser import RequestParser
from bramleybeam.relay._response_writer import ResponseWriter
from bramleybeam.relay._restartable_timer import RestartableTimer

# Reading pauses when more pipelined requests than this wait on a connection.
_MAX_QUEUED_REQUESTS: Final = 4
# Bytes that are discarded on a connection that is closing before reading pauses. A
# caller that disconnects after that is detected by the next write only.
_MAX_DISCARDED_BYTES: Final = 65_536
_CLOSE_POLL_S: Final = 0.02
_log = structlog.get_logger('callers')

Handler = Callable[[InboundRequest, 'CallerConnection'], Awaitable[None]]


class CallerConnection(ResponseWriter):
    """Runs the handler for each request, which writes its response."""

    def __init__(self, owner: 'CallerServer') -> None:
        """Store the server, which has the handler and the limits."""
        super().__init__()
        self._owner = owner
        self._parser = RequestParser(owner.limits, owner.now)
        self._queue: deque[InboundRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._timer = RestartableTimer(self._on_timeout)
        self._discarded_bytes = 0

    @property
    def is_busy(self) -> bool:
        """Whether a request is being handled or queued."""
        return self._task is not None or bool(self._queue)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the idle timer."""
        self._transport = transport  # type: ignore[assignment]
        self._owner.connections.add(self)
        self._start_timer()

    def data_received(self, received: bytes) -> None:
        """Parse received bytes and queue the complete requests."""
        if self._closing:
            self._discarded_bytes += len(received)
            self._update_reading()
            return
        self._parser.limits = self._owner.limits
        was_mid_head = self._parser.is_mid_head
        self._queue.extend(self._parser.feed(received))
        self._update_reading()
        # A head that arrives in parts does not restart its timer.
        if not (was_mid_head and self._parser.is_mid_head):
            self._start_timer()
        self._start_next()
        error = self._parser.error
        if error is not None:
            self._reject(error.status, error.reason)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler and drop queued requests."""
        self._owner.connections.discard(self)
        self._timer.stop()
        self._closing = True
        self._queue.clear()
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

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

    def _is_server_closing(self) -> bool:
        return self._owner.is_closing

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

    def _update_reading(self) -> None:
        """Pause reading while much is queued, or for good after endless input."""
        if self._transport is None:
            return
        is_input_endless = self._discarded_bytes > _MAX_DISCARDED_BYTES
        if is_input_endless or len(self._queue) > _MAX_QUEUED_REQUESTS:
            self._transport.pause_reading()
        elif not self._queue:
            self._transport.resume_reading()

    def _start_next(self) -> None:
        """Handle the next queued request unless one is being handled."""
        if self._task is not None or not self._queue:
            return
        request = self._queue.popleft()
        self._update_reading()
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
