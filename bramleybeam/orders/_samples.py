"""Decides whether a target has enough requests to judge its service."""

from typing import Final

# A target with fewer requests, or whose requests span fewer seconds, is not
# judged.
_MIN_REQUESTS: Final = 4
_MIN_SPAN_S: Final = 8.0


def has_enough_samples(request_count: int, span_s: float) -> bool:
    """Whether this many requests over ``span_s`` seconds are enough."""
    return request_count >= _MIN_REQUESTS and span_s >= _MIN_SPAN_S
