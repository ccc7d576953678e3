"""Pending demand: targets that requests wait for because no replica holds them.

A refused request is counted until its caller is expected to have retried, so
that the planner does not drop the target between the two attempts. The time
for which a target has been unserved is kept for longer, so that it also applies
to the next request for that target.
"""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from typing import Final

import attrs

from bramleybeam.orders import PinnedTarget, Target

# What requests wait for; a stream that goes on needs it at one software version.
PendingTarget = Target | PinnedTarget

# Time in seconds for which a refused request is counted beyond the time of its
# expected retry.
_RETRY_MARGIN_S: Final = 0.5
# Time in seconds without a request after which a target no longer counts as
# unserved.
_UNSERVED_RETENTION_S: Final = 15.0


@attrs.frozen
class PendingDemand:
    """The requests that wait or are expected to be retried, by target.

    ``waiting`` is the number of requests; ``unserved_s`` is the time in seconds
    for which a target has been requested without being served.
    """

    waiting: Mapping[PendingTarget, int] = attrs.field(factory=dict)
    unserved_s: Mapping[PendingTarget, float] = attrs.field(factory=dict)


@attrs.define
class _LocalPending:
    """The pending demand of this gateway for one target.

    Times are in seconds. ``unserved_since`` is the time from which the target
    counts as unserved, ``waiting`` the number of requests in the queue;
    ``retry_expiries`` are the times until which refused requests are counted.
    """

    unserved_since: float
    last_request_at: float
    waiting: int = 0
    retry_expiries: list[float] = attrs.field(factory=list)

    def count(self, now: float) -> int:
        """Return the number of requests, and drop refused ones that expired."""
        self.retry_expiries = [
            retry_expiry
            for retry_expiry in self.retry_expiries
            if now < retry_expiry
        ]
        return self.waiting + len(self.retry_expiries)


@attrs.frozen
class _RemotePending:
    """The pending demand that a child reported, valid until ``expires_at``."""

    expires_at: float
    pending: PendingDemand


class PendingDemandTable:
    """The pending demand of this gateway and of those below it in the tree.

    The callbacks ``on_pending`` are called when a request starts to wait for a
    target to be loaded. Arguments ``now`` are in seconds.
    """

    def __init__(self) -> None:
        """Start without pending demand."""
        self.on_pending: list[Callable[[], None]] = []
        self._local: dict[PendingTarget, _LocalPending] = {}
        self._remote: dict[str, _RemotePending] = {}

    def begin(self, target: PendingTarget, now: float) -> None:
        """Count a request that waits for its target to be loaded."""
        entry = self._local.setdefault(target, _LocalPending(now, now))
        entry.last_request_at = now
        entry.waiting += 1
        for callback in self.on_pending:
            callback()

    def end(self, target: PendingTarget) -> None:
        """Stop counting a request that has been waiting."""
        entry = self._local.get(target)
        if entry is not None:
            entry.waiting -= 1

    def note_refused(
        self, target: PendingTarget, now: float, retry_after_s: float
    ) -> None:
        """Count a refused request, to be retried after ``retry_after_s``."""
        entry = self._local.setdefault(target, _LocalPending(now, now))
        entry.last_request_at = now
        entry.retry_expiries.append(now + retry_after_s + _RETRY_MARGIN_S)

    def note_served(self, target: PendingTarget, now: float) -> None:
        """Record that a request for a target was served.

        For the other requests that wait for it, the unserved time starts
        again from ``now``.
        """
        entry = self._local.get(target)
        if entry is None:
            return
        entry.unserved_since = now
        if entry.retry_expiries:
            entry.retry_expiries.pop(0)
        if not entry.count(now):
            self._local.pop(target)

    def update_remote(
        self, child: str, pending: PendingDemand, expires_at: float
    ) -> bool:
        """Replace the pending demand of a child, valid until ``expires_at``.

        Returns whether the numbers of waiting requests have changed, which is
        true for a new child.
        """
        previous = self._remote.get(child)
        self._remote[child] = _RemotePending(expires_at, pending)
        return previous is None or previous.pending.waiting != pending.waiting

    def forget(self, child: str) -> None:
        """Drop the data of a gateway that is no longer a child."""
        self._remote.pop(child, None)

    def total(self, now: float, excluded_child: str = '') -> PendingDemand:
        """Return the pending demand of the subtree, except for one child.

        Counts are summed; the unserved time of a target is the longest one
        that any of the gateways reports.
        """
        self._drop_expired(now)
        waiting: Counter[PendingTarget] = Counter()
        unserved: dict[PendingTarget, float] = {}
        for pending in (
            self._report_local(now),
            *self._list_fresh(now, excluded_child),
        ):
            waiting.update(pending.waiting)
            for target, age_s in pending.unserved_s.items():
                unserved[target] = max(age_s, unserved.get(target, 0))
        return PendingDemand(dict(waiting), unserved)

    def _report_local(self, now: float) -> PendingDemand:
        counts = {
            target: entry.count(now) for target, entry in self._local.items()
        }
        waiting = {target: count for target, count in counts.items() if count}
        return PendingDemand(
            waiting,
            {
                target: now - self._local[target].unserved_since
                for target in waiting
            },
        )

    def _drop_expired(self, now: float) -> None:
        for target, entry in tuple(self._local.items()):
            if (
                not entry.count(now)
                and now - entry.last_request_at > _UNSERVED_RETENTION_S
            ):
                self._local.pop(target)

    def _list_fresh(
        self, now: float, excluded_child: str
    ) -> Iterator[PendingDemand]:
        for child, record in self._remote.items():
            if child != excluded_child and now < record.expires_at:
                yield record.pending
