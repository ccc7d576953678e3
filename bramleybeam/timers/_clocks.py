"""Clocks beside that of the event loop."""

import time


def boot_clock() -> float:
    """Return a monotonic time in seconds that includes suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
