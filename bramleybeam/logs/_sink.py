"""Writes log lines without ever waiting for who reads them."""

import os
from typing import Final

# Bytes of lines that may wait for a slow reader.
_MAX_WAITING_BYTES: Final = 262_144


class LogSink:
    """A text file over a descriptor that drops lines in place of blocking.

    How many lines were dropped is written with the next one that fits.
    """

    def __init__(self, descriptor: int) -> None:
        """Take over the descriptor and make it non-blocking."""
        os.set_blocking(descriptor, False)  # noqa: FBT003
        self._descriptor = descriptor
        self._waiting = bytearray()
        self._dropped = 0

    def write(self, text: str) -> None:
        """Queue a line and write what the reader takes now."""
        if len(self._waiting) > _MAX_WAITING_BYTES:
            self._dropped += 1
        else:
            if self._dropped:
                note = f'{{"event": "lines_dropped", "count": {self._dropped}}}'
                self._waiting += f'{note}\n'.encode()
                self._dropped = 0
            self._waiting += text.encode()
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            return
        except OSError:
            # Nobody can be told when the log itself has no reader.
            written = len(self._waiting)
        self._waiting = self._waiting[written:]
