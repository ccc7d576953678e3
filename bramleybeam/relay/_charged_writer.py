"""A caller's connection whose bytes are charged to the budget of the process."""

from collections.abc import Mapping
from typing import Final

from bramleybeam.memory_budget import Account, Holding
from bramleybeam.relay._caller_budget import CallerBudget
from bramleybeam.relay._response_writer import ResponseWriter
from bramleybeam.relay._restartable_timer import RestartableTimer

# A caller that leaves the most bytes unread that it may, and does not read the step
# in this time, is closed: it reads less than 13 KB/s.
_UNREAD_STEP_BYTES: Final = 131_072
_UNREAD_STALL_S: Final = 10.0


class ChargedWriter(ResponseWriter):
    """Charges what a connection holds; without a budget, it has no account."""

    def __init__(self, budget: CallerBudget | None) -> None:
        """Store the budget."""
        super().__init__()
        self._budget = budget
        self._account: Account | None = None
        self._write_timer = RestartableTimer(self._on_write_stall)
        self._unread_at_timeout = 0

    def pause_writing(self) -> None:
        """Block writes, and close the connection if that lasts."""
        super().pause_writing()
        if self._account is not None:
            self._write_timer.start(_UNREAD_STALL_S)

    def resume_writing(self) -> None:
        """Unblock writes."""
        super().resume_writing()
        self._write_timer.stop()

    def drop(self) -> None:
        """Free the memory of this connection."""
        self.abort_response()

    def note_reply_bytes(self, size: int) -> None:
        """Charge the bytes that are held of the answer to its request."""
        self._charge({Holding.REPLY: size})

    def measure_unread(self) -> None:
        """Charge the bytes that the caller has not read."""
        if self._transport is not None and self._account is not None:
            unread_bytes = self._transport.get_write_buffer_size()
            if unread_bytes or self._account.held[Holding.UNREAD]:
                self._charge({Holding.UNREAD: unread_bytes})

    def _open_account(self) -> None:
        """Open an account, or close the connection if it is one too many."""
        if self._budget is None or self._transport is None:
            return
        self._account = self._budget.open(self)
        if self._account is None:
            self.abort_response()
        else:
            high = self._budget.budget.max_unread_bytes
            self._transport.set_write_buffer_limits(
                high, high - _UNREAD_STEP_BYTES
            )

    def _close_account(self) -> None:
        """Stop charging, because the connection is closed."""
        self._write_timer.stop()
        if self._budget is not None and self._account is not None:
            self._budget.close(self._account)

    def _charge(self, changed: Mapping[Holding, int]) -> None:
        """Replace what this connection holds in the budget."""
        if self._budget is not None and self._account is not None:
            self._budget.charge(self._account, changed)

    def _write(self, encoded: bytes) -> None:
        """Write bytes, and charge those that the caller has not read."""
        super()._write(encoded)
        self.measure_unread()

    def _has_unread(self) -> bool:
        """Whether a response has not been read; called at each idle timeout.

        Closes the connection if nothing was read since the last timeout.
        """
        unread_bytes = 0
        if self._account is not None and self._transport is not None:
            unread_bytes = self._transport.get_write_buffer_size()
        if unread_bytes and unread_bytes == self._unread_at_timeout:
            self._on_write_stall()
        self._unread_at_timeout = unread_bytes
        return bool(unread_bytes)

    def _on_write_stall(self) -> None:
        """Close the connection of a caller that does not read."""
        if self._budget is not None:
            self._budget.note_closed(Holding.UNREAD, self._account)
        self.abort_response()
