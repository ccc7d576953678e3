"""Expects how long a request will wait, and refuses it if that is too long.

Handles this load: more requests than replicas can serve. A request that is held
until its time limit and refused then has less time left for its next attempt
than one that is refused as soon as the queue ahead of it is known to be too
long.
"""

from collections.abc import Iterable
from typing import Final

import attrs

from bramleybeam.decisions import Candidate, estimate_first_token

# By how much the replicas may be faster than expected. Refusing a request that
# could be served is as bad as holding one that can't.
_MAX_SPEEDUP: Final = 2
# Weight of the newest duration in the moving average.
_SMOOTHING: Final = 0.1


@attrs.define
class ServiceTime:
    """Moving average of the time that requests take at a replica.

    ``mean_s`` is in seconds, 0 before the first one; ``noted_at`` is the time
    of the newest one.
    """

    mean_s: float = 0
    noted_at: float = 0

    def note(self, elapsed_s: float, now: float) -> None:
        """Record a request that has run to its end."""
        previous_s = self.mean_s or elapsed_s
        self.mean_s = previous_s + _SMOOTHING * (elapsed_s - previous_s)
        self.noted_at = now


def expected_wait(
    candidates: Iterable[Candidate], ahead: int, share: float = 1
) -> float | None:
    """Estimate the seconds until a request gets a slot on a full upstream.

    ``ahead`` is the number of requests before this one in the queue, ``share``
    the part of the free slots that goes to this queue. The estimate is the time
    in which the upstreams together finish ``ahead + 1`` requests for it, if
    each takes as long as the recent ones of its upstream. Returns ``None`` if
    there is no measurement yet.
    """
    requests_per_s = 0.0
    for candidate in candidates:
        if candidate.service_s > 0:
            requests_per_s += (
                min(candidate.in_flight, candidate.limit) / candidate.service_s
            )
    requests_per_s *= share
    return (ahead + 1) / requests_per_s if requests_per_s else None


def cannot_meet_deadline(
    wait: float | None,
    candidates: Iterable[Candidate],
    time_left: float,
) -> bool:
    """Whether a request would exceed its queue time limit, with certainty.

    ``wait`` is the expected wait, ``None`` if unknown, and ``time_left`` the
    rest of the queue time limit, both in seconds. The estimated time to the
    first token counts as part of the wait.
    """
    if wait is None:
        return False
    first_token_s = min(map(estimate_first_token, candidates), default=0)
    return wait / _MAX_SPEEDUP + first_token_s > time_left


def spread_retry(wait: float, drawn: float) -> float:
    """Return when a refused caller should return, in seconds.

    It is between the earliest and the expected end of the wait; ``drawn`` is
    random, from 0 to 1, so that callers do not all return together.
    """
    earliest = wait / _MAX_SPEEDUP
    return earliest + drawn * (wait - earliest)
