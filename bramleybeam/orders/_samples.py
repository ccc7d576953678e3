"""Which targets were asked for enough to tell whether they can be reached."""

from typing import Final

_LEAST_ASKS: Final = 4
_LEAST_SPAN_S: Final = 8.0


def has_enough_samples(asks: int, span_s: float) -> bool:
    """Whether so many requests over so many seconds are enough to judge by."""
    return asks >= _LEAST_ASKS and span_s >= _LEAST_SPAN_S
