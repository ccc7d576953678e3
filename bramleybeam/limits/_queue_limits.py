"""Limits how long a request waits for a replica before it is refused.

Handles this load: what a request needs is unavailable for some seconds,
because its model has to be loaded or every replica is full. A caller that is
refused early enough can retry; one that is held until it disconnects gets no
answer.
"""

from typing import Final

from bramleybeam.catalog import RequestKind, Route

# A caller disconnects from a stream that sends nothing for the longest of a
# fixed time, a multiple of the objective and a multiple of the allowed gap.
_IDLE_S: Final = 2.0
_IDLE_OBJECTIVES: Final = 4
_IDLE_GAPS: Final = 8
# Shares of the time until the caller gives up that a request may spend in the
# queue: of a stream's idle timeout, and of the caller's time limit.
_STREAM_SHARE: Final = 0.75
_TIMEOUT_SHARE: Final = 0.5


# Objective, in seconds, from which a request can wait for a model load.
_TOLERANT_FROM_S: Final = 1.5


def is_latency_tolerant(route: Route) -> bool:
    """Whether requests can wait for a model load and still be on time."""
    return route.objective_s >= _TOLERANT_FROM_S


def stream_idle_timeout(route: Route) -> float:
    """Return the seconds after which a caller leaves an idle stream."""
    return max(
        _IDLE_S,
        _IDLE_OBJECTIVES * route.objective_s,
        _IDLE_GAPS * route.longest_gap_s,
    )


def max_queue_wait(route: Route, timeout_s: float) -> float:
    """Return the longest time in the queue, in seconds.

    ``timeout_s`` is the caller's time limit for the whole request.
    """
    max_wait_s = _TIMEOUT_SHARE * timeout_s
    if route.kind == RequestKind.STREAMING:
        return min(max_wait_s, _STREAM_SHARE * stream_idle_timeout(route))
    return max_wait_s
