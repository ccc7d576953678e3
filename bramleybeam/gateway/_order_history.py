"""When each replica was last given an order, by this gateway or another.

A new planner may order a replica only some time after the last planner did.
The planner announces each order to its children in the tree before it gives it
and repeats the times for a while, so that a child that takes over knows them
for each replica. Others don't, and wait for all.
"""

from collections.abc import Callable, Collection, Mapping
from typing import Final

import attrs

# Pause between two words of a planner after which an order may be unknown.
_MAX_UPDATE_GAP_S: Final = 1.5
# Age of the last word at which a planner may have given unknown orders.
_MAX_UPDATE_AGE_S: Final = 3.0
# Time for which orders to a replica are announced ahead, so that many orders
# in a row need one message.
ANNOUNCE_AHEAD_S: Final = 1.0


@attrs.define
class OrderHistory:
    """Moments of the last orders; ``clock`` goes on while suspended.

    ``pause_s`` is how long a replica stays closed to another giver of orders.
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
        """Whether any order that still counts would have been heard of."""
        now = self.clock()
        is_recent = now - self._last_update_at <= _MAX_UPDATE_AGE_S
        return is_recent and now - self._contact_since >= self.cooldown_s

    def note_local(self, replicas: Collection[str]) -> dict[str, float]:
        """Note orders that are about to be given here.

        Returns what has to be announced before: ages of orders by replica,
        which are in the future by ``AHEAD_S``.
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
        """Have the next orders to some replicas announced in any case."""
        for replica in replicas:
            self._announced_until.pop(replica, None)

    def merge_remote(self, ages: Mapping[str, float]) -> None:
        """Take in the ages, in seconds, of a planner's own orders."""
        now = self.clock()
        if now - self._last_update_at > _MAX_UPDATE_GAP_S:
            self._contact_since = now
        self._last_update_at = now
        for replica, age in ages.items():
            previous = self._remote.get(replica, now - age)
            self._remote[replica] = max(previous, now - age)

    def list_ages(self) -> dict[str, float]:
        """Return the ages of own orders that still count."""
        now = self.clock()
        return {
            replica: round(now - ordered_at, 3)
            for replica, ordered_at in self._local.items()
            if now - ordered_at < self.cooldown_s
        }

    def is_in_cooldown(self, replica: str) -> bool:
        """Whether another planner ordered a replica too short a time ago."""
        ordered_at = self._remote.get(replica)
        return (
            ordered_at is not None
            and self.clock() - ordered_at < self.cooldown_s
        )
