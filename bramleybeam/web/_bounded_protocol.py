"""uvicorn's HTTP/1.1 protocol with limits for requests that do not end."""

from typing import Any, Final

import h11
from uvicorn.protocols.http.h11_impl import H11Protocol, RequestResponseCycle

# Limit for a head, a trailer section or a chunk's size line, each while it is
# incomplete.
MAX_INCOMPLETE_BYTES: Final = 65_536
# A request that goes on after its response may send this many bytes more, for as
# many seconds, so that its caller can read the response; then the connection is
# closed.
_MAX_LATE_BYTES: Final = 1 << 20
_MAX_LATE_S: Final = 1.0


class BoundedProtocol(H11Protocol):
    """Closes connections whose request goes on long after its response.

    h11 limits the parts of a request that are not its body, and the application
    limits the body until it has responded.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Take the arguments of uvicorn's protocol."""
        super().__init__(*args, **kwargs)
        self._late_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or close the connection after too many."""
        if self._is_late():
            self._late_bytes += len(data)
        if self._late_bytes > _MAX_LATE_BYTES:
            self.transport.abort()
            return
        super().data_received(data)

    def on_response_complete(self) -> None:
        """Continue with the next request, or limit the rest of this one."""
        super().on_response_complete()
        if self._is_late():
            self.loop.call_later(_MAX_LATE_S, self._abort_late, self.cycle)

    def _is_late(self) -> bool:
        """Whether the request goes on though its response is complete."""
        is_incomplete = self.conn.their_state is h11.SEND_BODY
        is_answered = self.cycle is not None and self.cycle.response_complete
        return is_incomplete and is_answered

    def _abort_late(self, cycle: RequestResponseCycle) -> None:
        if self.cycle is cycle and self._is_late():
            self.transport.abort()
