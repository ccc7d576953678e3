"""Writes log lines without blocking on a slow reader."""

import os
from typing import Final

# Lines are dropped while more than this waits for a slow reader.
_MAX_BUFFER_BYTES: Final = 262_144


class LogSink:
    """A text file on a descriptor that drops lines instead of blocking.

    The number of dropped lines is written before the next line that fits.
    """

    def __init__(self, descriptor: int) -> None:
        """Store the descriptor and make it non-blocking."""
        os.set_blocking(descriptor, False)  # noqa: FBT003
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._dropped = 0

    def write(self, text: str) -> None:
        """Add a line to the buffer, or drop it, and flush the buffer."""
        if len(self._buffer) > _MAX_BUFFER_BYTES:
            self._dropped += 1
        else:
            if self._dropped:
                line = f'{{"event": "lines_dropped", "count": {self._dropped}}}'
                self._buffer += f'{line}\n'.encode()
                self._dropped = 0
            self._buffer += text.encode()
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The descriptor is broken, so that the error can't be logged
            # either; the buffer is discarded.
            written = len(self._buffer)
        self._buffer = self._buffer[written:]
