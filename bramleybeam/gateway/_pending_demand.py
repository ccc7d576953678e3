"""What requests wait for since no replica holds it, and for how long.

A request that was refused counts until it may have come back, so that what it
asked for is not given up between its two tries. How long a target has not been
served is kept beyond that, for whoever asks for it next.
"""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from typing import Final

import attrs

from bramleybeam.orders import Target

# Time after its expected return for which a refused request counts.
_RETRY_MARGIN_S: Final = 0.5
# Time without a request after which a target is no longer taken for unserved.
_UNSERVED_RETENTION_S: Final = 15.0


@attrs.frozen
class PendingDemand:
    """Requests that wait, or will be back, by what they wait for.

    ``unserved_s`` tells for how many seconds a target has been asked for
    without being served.
    """

    waiting: Mapping[Target, int] = attrs.field(factory=dict)
    unserved_s: Mapping[Target, float] = attrs.field(factory=dict)


@attrs.define
class _LocalPending:
    """A target that is wanted here; moments are in seconds.

    ``returns`` are the moments until which refused requests count.
    """

    unserved_since: float
    last_request_at: float
    waiting: int = 0
    retry_expiries: list[float] = attrs.field(factory=list)

    def count(self, now: float) -> int:
        self.retry_expiries = [
            retry_expiry
            for retry_expiry in self.retry_expiries
            if now < retry_expiry
        ]
        return self.waiting + len(self.retry_expiries)


@attrs.frozen
class _RemotePending:
    expires_at: float
    pending: PendingDemand


class PendingDemandTable:
    """Own wants, and those of the gateways below in the tree.

    ``on_pending`` is called when a request begins to wait for a load.
    """

    def __init__(self) -> None:
        """Start without wants."""
        self.on_pending: list[Callable[[], None]] = []
        self._local: dict[Target, _LocalPending] = {}
        self._remote: dict[str, _RemotePending] = {}

    def begin(self, target: Target, now: float) -> None:
        """Count a request that waits for its target to be loaded."""
        entry = self._local.setdefault(target, _LocalPending(now, now))
        entry.last_request_at = now
        entry.waiting += 1
        for callback in self.on_pending:
            callback()

    def end(self, target: Target) -> None:
        """Stop counting a request that waited."""
        entry = self._local.get(target)
        if entry is not None:
            entry.waiting -= 1

    def note_refused(
        self, target: Target, now: float, retry_after_s: float
    ) -> None:
        """Count a request that was asked to come back after ``again_s``."""
        entry = self._local.setdefault(target, _LocalPending(now, now))
        entry.last_request_at = now
        entry.retry_expiries.append(now + retry_after_s + _RETRY_MARGIN_S)

    def note_served(self, target: Target, now: float) -> None:
        """Note that a request for a target was served.

        Others that wait for it count anew from this moment on.
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
        """Take in the wants below a child; they count until a moment.

        Tells whether other requests wait there than before.
        """
        previous = self._remote.get(child)
        self._remote[child] = _RemotePending(expires_at, pending)
        return previous is None or previous.pending.waiting != pending.waiting

    def forget(self, child: str) -> None:
        """Drop what a gateway told that is no longer a child."""
        self._remote.pop(child, None)

    def total(self, now: float, excluded_child: str = '') -> PendingDemand:
        """Return the wants here and below, but those of one child."""
        self._drop_expired(now)
        waiting: Counter[Target] = Counter()
        unserved: dict[Target, float] = {}
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
