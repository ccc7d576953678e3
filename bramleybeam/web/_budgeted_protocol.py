"""uvicorn's HTTP/1.1 protocol, charged to the byte budget of the process."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final

import attrs
import h11

from bramleybeam.memory_budget import Account, Holding
from bramleybeam.relay import CallerBudget
from bramleybeam.web._bounded_protocol import BoundedProtocol

# A complete body is held twice: as it was received, and parsed or as a frame.
_COPIES: Final = 2
# A refused request is read for this long, and up to this many bytes, so that its
# caller can read the response; then the connection is aborted.
_LINGER_S: Final = 1.0
_MAX_LINGER_BYTES: Final = 1 << 20
# A caller that leaves the most bytes unread that it may, and does not read the step
# in this time, is closed: it reads less than 13 KB/s.
_UNREAD_STEP_BYTES: Final = 131_072
_UNREAD_STALL_S: Final = 10.0

RefusalParts = tuple[list[tuple[bytes, bytes]], bytes]


@attrs.frozen
class CallerLimits:
    """The budget of a server, and what it answers where there is no room.

    ``make_refusal`` returns the headers and the body of such an answer, whose
    status is 503.
    """

    budget: CallerBudget
    make_refusal: Callable[[], RefusalParts]


class MeasuredTransport:
    """Passes all calls on, and reports each write afterwards."""

    def __init__(
        self, transport: asyncio.Transport, on_write: Callable[[], None]
    ) -> None:
        """Store the transport and what is called after each write."""
        self._transport = transport
        self._on_write = on_write

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the transport."""
        return getattr(self._transport, name)

    def write(self, encoded: bytes) -> None:
        """Write bytes."""
        self._transport.write(encoded)
        self._on_write()


class BudgetedProtocol(BoundedProtocol):
    """Refuses requests and closes connections that there is no memory for."""

    def __init__(self, limits: CallerLimits, *args: Any, **kwargs: Any) -> None:
        """Store the limits; the others are arguments of uvicorn's protocol."""
        super().__init__(*args, **kwargs)
        self._limits = limits
        self._account: Account | None = None
        self._received_bytes = 0
        self._discarded_bytes = 0
        self._is_refused = False
        self._stall_timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Open an account, or close the connection if it is one too many."""
        measured: Any = MeasuredTransport(transport, self.measure_unread)
        super().connection_made(measured)
        budget = self._limits.budget
        self._account = budget.open(self)
        if self._account is None:
            transport.abort()
            return
        high = budget.budget.max_unread_bytes
        transport.set_write_buffer_limits(high, high - _UNREAD_STEP_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the account."""
        super().connection_lost(exc)
        self._stop_stall_timer()
        if self._account is not None:
            self._limits.budget.close(self._account)

    def data_received(self, data: bytes) -> None:
        """Charge received bytes, and parse them if there is room for them."""
        if self._is_refused:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > _MAX_LINGER_BYTES:
                self.transport.abort()
            return
        self._received_bytes += len(data)
        self._charge_request()
        if not (self._is_refused or self.transport.is_closing()):
            super().data_received(data)
            self._charge_request()

    def on_response_complete(self) -> None:
        """Release the request of this response."""
        self._received_bytes = 0
        self._charge_request()
        super().on_response_complete()

    def pause_writing(self) -> None:
        """Block writes, and close the connection if that lasts."""
        super().pause_writing()
        self._stall_timer = self.loop.call_later(
            _UNREAD_STALL_S, self._on_write_stall
        )

    def resume_writing(self) -> None:
        """Unblock writes."""
        super().resume_writing()
        self._stop_stall_timer()

    def drop(self) -> None:
        """Refuse a request that has a part of its body, or close."""
        if self._can_refuse():
            self._refuse()
        else:
            self.transport.abort()

    def measure_unread(self) -> None:
        """Charge the bytes that the caller has not read."""
        if self._account is not None:
            unread_bytes = self.transport.get_write_buffer_size()
            if unread_bytes or self._account.held[Holding.UNREAD]:
                self._charge({Holding.UNREAD: unread_bytes})

    def _charge_request(self) -> None:
        """Charge the current request, as far as it was received."""
        if self._account is None:
            return
        cycle = self.cycle
        is_whole = cycle is not None and not (
            cycle.more_body or cycle.response_complete
        )
        self._account.is_in_flight = is_whole
        size = self._received_bytes
        self._charge(
            {
                Holding.PARTIAL: 0 if is_whole else size,
                Holding.WHOLE: size * _COPIES if is_whole else 0,
            }
        )

    def _charge(self, changed: dict[Holding, int]) -> None:
        if self._account is not None:
            self._limits.budget.charge(self._account, changed)

    def _can_refuse(self) -> bool:
        cycle = self.cycle
        is_waiting = cycle is not None and cycle.more_body
        return is_waiting and self.conn.our_state is h11.SEND_RESPONSE

    def _refuse(self) -> None:
        """Answer with 503, and discard what is still received."""
        self._is_refused = True
        headers, body = self._limits.make_refusal()
        length = (b'content-length', str(len(body)).encode())
        response = h11.Response(
            status_code=HTTPStatus.SERVICE_UNAVAILABLE,
            reason=b'Service Unavailable',
            headers=[*headers, length, (b'connection', b'close')],
        )
        for event in (response, h11.Data(data=body), h11.EndOfMessage()):
            self.transport.write(self.conn.send(event) or b'')
        # The application is told that the caller is gone.
        self.cycle.disconnected = True
        self.cycle.body = bytearray()
        self.cycle.message_event.set()
        self.flow.resume_reading()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(_LINGER_S, self.transport.abort)

    def _on_write_stall(self) -> None:
        """Close the connection of a caller that does not read."""
        self._limits.budget.note_closed(Holding.UNREAD, self._account)
        self.transport.abort()

    def _stop_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
