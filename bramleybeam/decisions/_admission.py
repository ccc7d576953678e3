"""Priority and early refusal of requests."""

from collections.abc import Iterable
from typing import Final

from bramleybeam.decisions._routing import Candidate, estimate_first_token
from bramleybeam.documents import WorkClass

# Longest latency target, in seconds, of each priority, highest first.
_PRIORITY_LIMITS_S: Final = (1.0, 5.0, 60.0)
# Share of an upstream's limit that latency-tolerant work may use.
_TOLERANT_SHARE: Final = 0.7
# Longest latency target, in seconds, of work that isn't latency-tolerant.
_URGENT_WITHIN_S: Final = 60.0


def priority_of(work_class: WorkClass) -> int:
    """Return the engine priority of a work class; higher runs first."""
    highest = len(_PRIORITY_LIMITS_S)
    for index, limit in enumerate(_PRIORITY_LIMITS_S):
        if work_class.answer_within_s <= limit:
            return highest - index
    return 0


def limit_share_of(work_class: WorkClass) -> float:
    """Return the share of an upstream's limit that a work class may use.

    Latency-tolerant work uses only a part of the limit, so that capacity
    remains for urgent work.
    """
    if work_class.answer_within_s > _URGENT_WITHIN_S:
        return _TOLERANT_SHARE
    return 1


def expected_wait(candidates: Iterable[Candidate], ahead: int) -> float | None:
    """Estimate the seconds until a request gets a slot on a full upstream.

    ``ahead`` is the number of requests before this one in the queue. The
    estimate is the time in which the upstreams together finish ``ahead + 1``
    requests, if each takes as long as the recent ones of its upstream. Returns
    ``None`` if there is no measurement yet.
    """
    requests_per_s = 0.0
    for candidate in candidates:
        if candidate.service_s > 0:
            requests_per_s += (
                min(candidate.in_flight, candidate.limit) / candidate.service_s
            )
    return (ahead + 1) / requests_per_s if requests_per_s else None


def cannot_meet_deadline(
    wait: float | None,
    candidates: Iterable[Candidate],
    time_left: float,
) -> bool:
    """Whether a request would exceed its queue time limit.

    ``wait`` is the expected wait, ``None`` if unknown, and ``time_left`` the
    rest of the queue time limit, both in seconds. The estimated time to the
    first token counts as part of the wait.
    """
    if wait is None:
        return False
    first_token_s = min(map(estimate_first_token, candidates), default=0)
    return wait + first_token_s > time_left
