"""HTTP/1.1 server for callers.

The requests of a connection are handled one after the other. The handler's
task is cancelled when the caller closes the connection.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final

import structlog

from bramleybeam.catalog import RequestLimits
from bramleybeam.memory_budget import Holding
from bramleybeam.relay._caller_budget import CallerBudget
from bramleybeam.relay._charged_writer import ChargedWriter
from bramleybeam.relay._messages import InboundRequest
from bramleybeam.relay._parsing_turns import ParsingTurns
from bramleybeam.relay._request_input import RequestInput
from bramleybeam.relay._request_parser import RequestParser
from bramleybeam.relay._response_writer import ResponseWriter
from bramleybeam.relay._restartable_timer import RestartableTimer

# Reading pauses when more pipelined requests than this wait on a connection.
_MAX_QUEUED_REQUESTS: Final = 4
# Bytes that are discarded on a connection that is closing before reading pauses. A
# caller that disconnects after that is detected by the next write only.
_MAX_DISCARDED_BYTES: Final = 65_536
_CLOSE_POLL_S: Final = 0.02
# Connections that the system queues until they are accepted, and how many are
# accepted at a time, before their number is checked.
_BACKLOG: Final = 1024
_ACCEPTED_AT_ONCE: Final = 32
# A connection with a refused request is read for this long, and up to this many
# bytes, so that its caller can read the response; then it is aborted.
_LINGER_S: Final = 1.0
_MAX_LINGER_BYTES: Final = 8_388_608
# Buffers of the system for a connection with an account. With them, 10 Mbit/s are
# reached at a round trip of 50 ms.
_SYSTEM_BUFFER_BYTES: Final = 65_536
_log = structlog.get_logger('callers')

Handler = Callable[[InboundRequest, 'CallerConnection'], Awaitable[None]]
Refuser = Callable[[InboundRequest, 'CallerConnection'], None]


class CallerConnection(ChargedWriter):
    """Runs the handler for each request, which writes its response."""

    def __init__(self, owner: 'CallerServer') -> None:
        """Store the server, which has the handler and the limits."""
        super().__init__(owner.budget)
        self._owner = owner
        self._parser = RequestParser(owner.limits, owner.now)
        self._input = RequestInput(self._parser)
        self._queue: deque[InboundRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._timer = RestartableTimer(self._on_timeout)
        self._discarded_bytes = 0
        self._is_lingering = False
        self._current_bytes = 0

    @property
    def is_busy(self) -> bool:
        """Whether a request is being handled or queued."""
        return self._task is not None or bool(self._queue)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the idle timer."""
        self._transport = transport  # type: ignore[assignment]
        self._owner.connections.add(self)
        self._open_account()
        self._start_timer()

    def data_received(self, received: bytes) -> None:
        """Parse received bytes, in turns with others if that is costly."""
        if self._closing:
            self._discard(len(received))
            return
        is_in_turn = bool(self._input)
        self._input.add(received)
        if is_in_turn:
            self._charge_requests()
        elif self._parse_next():
            self._owner.turns.add(self._parse_next)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler and drop queued requests."""
        self._owner.connections.discard(self)
        self._timer.stop()
        self._close_account()
        self._closing = True
        self._queue.clear()
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def drop(self) -> None:
        """Free the memory of this connection, whose account was dropped.

        A request that was not handled yet is refused; otherwise the connection
        is closed.
        """
        request = self._queue[0] if self._queue else self._parser.peek()
        self._queue.clear()
        self._input.clear()
        self._parser.discard()
        if self._closing or self._task is not None or request is None:
            self.abort_response()
            return
        self._closing = True
        self._owner.refuse(request, self)
        self._linger()

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

    def _parse_next(self) -> bool:
        """Parse input, queue complete requests; return whether some is left."""
        if self._closing:
            self._input.clear()
            return False
        self._parser.limits = self._owner.limits
        was_mid_head = self._parser.is_mid_head
        completed = self._input.parse()
        self._queue.extend(completed)
        self._update_reading()
        self._charge_requests()
        if not self._closing:
            self._handle_parsed(
                has_completed=bool(completed), was_mid_head=was_mid_head
            )
        return bool(self._input)

    def _handle_parsed(
        self, *, has_completed: bool, was_mid_head: bool
    ) -> None:
        """Restart the timer, begin the next request, and reject a bad one."""
        # Neither a head that arrives in parts nor empty lines restart the timer.
        is_mid_head = was_mid_head and self._parser.is_mid_head
        if has_completed or (self._parser.is_mid_request and not is_mid_head):
            self._start_timer()
        self._start_next()
        error = self._parser.error
        if error is not None:
            self._reject(error.status, error.reason)

    def _is_server_closing(self) -> bool:
        return self._owner.is_closing

    def _reject(self, status: int, reason: str) -> None:
        """Respond to a bad request and close the connection.

        While earlier requests are handled or queued, the connection closes
        after their responses, without a response to the bad request.
        """
        _log.warning('request_unreadable', status=status, reason=reason)
        self._closing = True
        self._input.clear()
        if not self.is_busy and self._transport is not None:
            self.respond(status, (), b'')
            self._linger()
        self._parser.discard()
        self._charge_requests()

    def _linger(self) -> None:
        """Discard what is still received, so that the response arrives."""
        if self._transport is None or self._transport.is_closing():
            return
        self._closing = True
        self._is_lingering = True
        self._update_reading()
        self._transport.write_eof()
        self._timer.start(_LINGER_S)

    def _discard(self, size: int) -> None:
        """Count bytes that are discarded, and stop reading after too many."""
        self._discarded_bytes += size
        if not self._is_lingering:
            self._update_reading()
        elif self._discarded_bytes > _MAX_LINGER_BYTES:
            self.abort_response()

    def _charge_requests(self) -> None:
        """Charge the received parts, and the requests that are complete."""
        if self._account is None:
            return
        self._account.is_in_flight = self._task is not None
        queued_bytes = sum(request.held_bytes for request in self._queue)
        self._charge(
            {
                Holding.PARTIAL: self._parser.held_bytes + len(self._input),
                Holding.WHOLE: self._current_bytes + queued_bytes,
            }
        )

    def _update_reading(self) -> None:
        """Pause reading while much waits, or for good after endless input."""
        if self._transport is None:
            return
        is_input_endless = self._discarded_bytes > _MAX_DISCARDED_BYTES
        has_much = bool(self._input) or len(self._queue) > _MAX_QUEUED_REQUESTS
        if is_input_endless or has_much:
            self._transport.pause_reading()
        elif not self._queue and not self._input:
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
        self._current_bytes = request.held_bytes
        self._charge_requests()

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
        self._current_bytes = 0
        self._charge_requests()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._closing and not self._queue:
            # A caller that does not read the response keeps the connection open.
            self._start_timer()
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
        if self._transport is None:
            return
        if self._is_lingering:
            self.abort_response()
            return
        if self.is_busy:
            return
        if self._has_unread():
            self._start_timer()
            return
        if self._parser.is_mid_request:
            self._reject(HTTPStatus.REQUEST_TIMEOUT, 'request incomplete')
        else:
            self._transport.close()


def refuse_plainly(_request: InboundRequest, writer: ResponseWriter) -> None:
    """Answer a request that there is no memory for."""
    retry_after = (b'Retry-After', b'1')
    writer.respond(HTTPStatus.SERVICE_UNAVAILABLE, (retry_after,), b'')


class CallerServer:
    """Listens at one address and calls one handler for each request.

    ``limits`` may be replaced while it runs; open connections then use the
    new limits too. With a ``budget``, what connections hold is charged to it, and
    ``refuse`` answers the requests that it has no room for; their bodies are
    left out.
    """

    def __init__(self, address: str, handler: Handler) -> None:
        """Store the address to listen at, ``IP:PORT``, and the handler."""
        self.budget: CallerBudget | None = None
        self.refuse: Refuser = refuse_plainly
        self.address = address
        self.handler = handler
        self.limits = RequestLimits()
        self.connections: set[CallerConnection] = set()
        self.turns = ParsingTurns()
        self.is_closing = False
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Open the port; ``address`` then has the actual port number."""
        host, _, port = self.address.rpartition(':')
        listener = socket.create_server((host, int(port)))
        if self.budget is not None:
            # Accepted connections inherit the sizes.
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                listener.setsockopt(
                    socket.SOL_SOCKET, option, _SYSTEM_BUFFER_BYTES
                )
        self._server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self),
            sock=listener,
            backlog=_ACCEPTED_AT_ONCE,
        )
        # asyncio has set the queue to the number that it accepts at a time.
        listener.listen(_BACKLOG)
        bound = listener.getsockname()
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
