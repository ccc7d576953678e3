"""Decides whose turn it is, how urgent it is, and who is refused early."""

from collections.abc import Iterable
from typing import Final

import attrs

from bramleybeam.decisions._routing import Candidate, estimate_first_token
from bramleybeam.documents import WorkClass

# Targets, in seconds, up to which work has each priority; later is lower.
_PRIORITY_STEPS: Final = (1.0, 5.0, 60.0)
# Share of an upstream's limit that work without a near target may use.
_TOLERANT_SHARE: Final = 0.7
_URGENT_WITHIN_S: Final = 60.0


@attrs.frozen
class QueuedRequest:
    """A request that waits for an upstream; times are monotonic seconds."""

    received_at: float
    answer_within_s: float
    longest_wait_s: float

    def slack(self, now: float) -> float:
        """Return the seconds that are left until the target is missed.

        A request that has missed its target, or has waited for half of its
        longest wait, goes before all that have not: nothing waits for ever.
        """
        waited = now - self.received_at
        if waited > self.longest_wait_s / 2:
            return -waited
        return self.answer_within_s - waited


def priority_of(work_class: WorkClass) -> int:
    """Return the engine priority of a class; higher goes first."""
    steps = len(_PRIORITY_STEPS)
    for index, limit in enumerate(_PRIORITY_STEPS):
        if work_class.answer_within_s <= limit:
            return steps - index
    return 0


def share_of(work_class: WorkClass) -> float:
    """Return the share of an upstream's limit that a class may fill.

    Work without a near target soaks up what is left and yields first.
    """
    if work_class.answer_within_s > _URGENT_WITHIN_S:
        return _TOLERANT_SHARE
    return 1


def is_next(
    mine: QueuedRequest, others: Iterable[QueuedRequest], now: float
) -> bool:
    """Whether a waiting request has the least slack of those beside it."""
    own = mine.slack(now)
    return all(own <= other.slack(now) for other in others)


def expected_wait(candidates: Iterable[Candidate], ahead: int) -> float | None:
    """Estimate the seconds until a full upstream has room.

    ``ahead`` requests wait before this one. ``None`` means that nothing is
    known yet. The estimate is the time in which the upstreams together finish
    as many requests, each taking as long as its upstream's recent ones.
    """
    rate = 0.0
    for candidate in candidates:
        if candidate.service_s > 0:
            rate += (
                min(candidate.in_flight, candidate.limit) / candidate.service_s
            )
    return (ahead + 1) / rate if rate else None


def cannot_meet_deadline(
    wait: float | None,
    candidates: Iterable[Candidate],
    time_left: float,
) -> bool:
    """Whether waiting would outlast what is left of the longest wait."""
    if wait is None:
        return False
    quickest = min(map(estimate_first_token, candidates), default=0)
    return wait + quickest > time_left
