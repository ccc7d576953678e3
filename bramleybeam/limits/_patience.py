"""How long a request waits for a replica before it is refused.

Answers this load: what a request needs isn't there for some seconds, since
its model has to be loaded or every replica is full. A caller that is told in
time comes back; one that is held until it leaves gets nothing.
"""

from typing import Final

from bramleybeam.catalog import RequestKind, Route

# A caller leaves a stream that shows nothing for this long; the longest of
# a fixed time, a number of objectives and a number of allowed gaps.
_IDLE_S: Final = 2.0
_IDLE_OBJECTIVES: Final = 4
_IDLE_GAPS: Final = 8
# Parts of the caller's patience that are spent on waiting here.
_STREAM_SHARE: Final = 0.75
_PLAIN_SHARE: Final = 0.5


# Objective, in seconds, from which a request can wait for a load.
_TOLERANT_FROM_S: Final = 1.5


def is_latency_tolerant(route: Route) -> bool:
    """Whether its requests can wait for a load and be in time."""
    return route.objective_s >= _TOLERANT_FROM_S


def stream_idle_timeout(route: Route) -> float:
    """Return the seconds after which a caller leaves a quiet stream."""
    return max(
        _IDLE_S,
        _IDLE_OBJECTIVES * route.objective_s,
        _IDLE_GAPS * route.longest_gap_s,
    )


def max_queue_wait(route: Route, time_s: float) -> float:
    """Return the seconds to wait, of ``time_s`` that the caller gives."""
    patience = _PLAIN_SHARE * time_s
    if route.kind == RequestKind.STREAMING:
        return min(patience, _STREAM_SHARE * stream_idle_timeout(route))
    return patience
