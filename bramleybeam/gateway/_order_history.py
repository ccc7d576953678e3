"""The times at which planners last sent an order to each replica.

A new planner may only send orders to a replica some time after the previous
planner did. A planner announces each order to its children in the tree before
sending it, and repeats the times for a while, so that a child that becomes the
planner knows the time for each replica. Any other gateway does not know these
times and waits before its first order to any replica.
"""

from collections.abc import Callable, Collection, Mapping
from typing import Final

import attrs

# Longest time in seconds between two updates of a planner; after a longer gap
# an order in between may be unknown.
_MAX_UPDATE_GAP_S: Final = 1.5
# Longest age in seconds of a planner's last update; after that the planner may
# have sent unknown orders.
_MAX_UPDATE_AGE_S: Final = 3.0
# Time in seconds by which orders to a replica are announced ahead, so that
# several consecutive orders need only one message.
ANNOUNCE_AHEAD_S: Final = 1.0


@attrs.define
class OrderHistory:
    """The times of the last orders, in seconds of ``clock``.

    ``clock`` also advances while the host is suspended. ``cooldown_s`` is the
    time after an order for which a replica accepts none of another planner.
    """

    cooldown_s: float
    clock: Callable[[], float]
    _local: dict[str, float] = attrs.field(factory=dict)
    _remote: dict[str, float] = attrs.field(factory=dict)
    _announced_until: dict[str, float] = attrs.field(factory=dict)
    _contact_since: float = attrs.field(init=False, default=float('inf'))
    _last_update_at: float = attrs.field(init=False, default=float('-inf'))

    @property
    def is_complete(self) -> bool:
        """Whether every remote order within the cooldown is known."""
        now = self.clock()
        is_recent = now - self._last_update_at <= _MAX_UPDATE_AGE_S
        return is_recent and now - self._contact_since >= self.cooldown_s

    def note_local(self, replicas: Collection[str]) -> dict[str, float]:
        """Record orders that this gateway is about to send.

        Returns what has to be announced first: the ages of the orders by
        replica, which are negative by ``ANNOUNCE_AHEAD_S`` seconds. It omits
        replicas for which an earlier announcement still holds.
        """
        now = self.clock()
        self._local.update(dict.fromkeys(replicas, now))
        due = [
            replica
            for replica in replicas
            if self._announced_until.get(replica, 0) <= now
        ]
        self._announced_until.update(dict.fromkeys(due, now + ANNOUNCE_AHEAD_S))
        return dict.fromkeys(due, -ANNOUNCE_AHEAD_S)

    def reset_announcements(self, replicas: Collection[str]) -> None:
        """Announce the next order to each of some replicas in any case."""
        for replica in replicas:
            self._announced_until.pop(replica, None)

    def merge_remote(self, ages: Mapping[str, float]) -> None:
        """Merge the ages, in seconds, of the orders of another planner."""
        now = self.clock()
        if now - self._last_update_at > _MAX_UPDATE_GAP_S:
            self._contact_since = now
        self._last_update_at = now
        for replica, age in ages.items():
            previous = self._remote.get(replica, now - age)
            self._remote[replica] = max(previous, now - age)

    def list_ages(self) -> dict[str, float]:
        """Return the ages, in seconds, of local orders in the cooldown."""
        now = self.clock()
        return {
            replica: round(now - ordered_at, 3)
            for replica, ordered_at in self._local.items()
            if now - ordered_at < self.cooldown_s
        }

    def is_in_cooldown(self, replica: str) -> bool:
        """Whether another planner's order to a replica is too recent."""
        ordered_at = self._remote.get(replica)
        return (
            ordered_at is not None
            and self.clock() - ordered_at < self.cooldown_s
        )
