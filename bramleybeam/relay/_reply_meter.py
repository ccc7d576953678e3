"""Reports the bytes that are held for a reply."""

from collections.abc import Callable


class ReplyMeter:
    """Adds what a connection has buffered and what its reader holds."""

    def __init__(self) -> None:
        """Report to nobody."""
        self._report: Callable[[int], None] | None = None
        self._buffered_bytes = 0
        self._reader_bytes = 0

    def attach(self, report: Callable[[int], None] | None) -> None:
        """Report each change to ``report``, after 0 bytes to the former one."""
        if self._report is not None:
            self._report(0)
        self._report = report
        self._buffered_bytes = 0
        self._reader_bytes = 0

    def note_buffered(self, size: int) -> None:
        """Record the bytes that the reader has not taken yet."""
        self._buffered_bytes = size
        self._send_report()

    def note_held(self, size: int) -> None:
        """Record the bytes that the reader has taken and still holds."""
        self._reader_bytes = size
        self._send_report()

    def _send_report(self) -> None:
        if self._report is not None:
            self._report(self._buffered_bytes + self._reader_bytes)
