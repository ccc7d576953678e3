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
_RETURN_MARGIN_S: Final = 0.5
# Time without a request after which a target is no longer taken for unserved.
_FORGET_S: Final = 15.0


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

    since: float
    asked_at: float
    waiting: int = 0
    returns: list[float] = attrs.field(factory=list)

    def count(self, now: float) -> int:
        self.returns = [moment for moment in self.returns if now < moment]
        return self.waiting + len(self.returns)


@attrs.frozen
class _RemotePending:
    until: float
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
        own = self._local.setdefault(target, _LocalPending(now, now))
        own.asked_at = now
        own.waiting += 1
        for callback in self.on_pending:
            callback()

    def end(self, target: Target) -> None:
        """Stop counting a request that waited."""
        own = self._local.get(target)
        if own is not None:
            own.waiting -= 1

    def note_refused(self, target: Target, now: float, again_s: float) -> None:
        """Count a request that was asked to come back after ``again_s``."""
        own = self._local.setdefault(target, _LocalPending(now, now))
        own.asked_at = now
        own.returns.append(now + again_s + _RETURN_MARGIN_S)

    def note_served(self, target: Target, now: float) -> None:
        """Note that a request for a target was served.

        Others that wait for it count anew from this moment on.
        """
        own = self._local.get(target)
        if own is None:
            return
        own.since = now
        if own.returns:
            own.returns.pop(0)
        if not own.count(now):
            self._local.pop(target)

    def update_remote(
        self, child: str, pending: PendingDemand, until: float
    ) -> bool:
        """Take in the wants below a child; they count until a moment.

        Tells whether other requests wait there than before.
        """
        known = self._remote.get(child)
        self._remote[child] = _RemotePending(until, pending)
        return known is None or known.pending.waiting != pending.waiting

    def forget(self, child: str) -> None:
        """Drop what a gateway told that is no longer a child."""
        self._remote.pop(child, None)

    def total(self, now: float, besides: str = '') -> PendingDemand:
        """Return the wants here and below, but those of one child."""
        self._drop_forgotten(now)
        waiting: Counter[Target] = Counter()
        unserved: dict[Target, float] = {}
        for pending in (self._report_local(now), *self._fresh(now, besides)):
            waiting.update(pending.waiting)
            for target, age_s in pending.unserved_s.items():
                unserved[target] = max(age_s, unserved.get(target, 0))
        return PendingDemand(dict(waiting), unserved)

    def _report_local(self, now: float) -> PendingDemand:
        counts = {target: own.count(now) for target, own in self._local.items()}
        waiting = {target: count for target, count in counts.items() if count}
        return PendingDemand(
            waiting,
            {target: now - self._local[target].since for target in waiting},
        )

    def _drop_forgotten(self, now: float) -> None:
        for target, own in tuple(self._local.items()):
            if not own.count(now) and now - own.asked_at > _FORGET_S:
                self._local.pop(target)

    def _fresh(self, now: float, besides: str) -> Iterator[PendingDemand]:
        for child, told in self._remote.items():
            if child != besides and now < told.until:
                yield told.pending
