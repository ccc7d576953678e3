"""When each replica was last given an order, by this gateway or another.

A new planner may order a replica only some time after the last planner did.
The planner announces each order before it gives it and repeats the times for
a while, so that whoever takes over knows them for each replica.
"""

from collections.abc import Callable, Mapping

import attrs


@attrs.define
class OrderTimes:
    """Moments of the last orders; ``clock`` goes on while suspended.

    ``pause_s`` is how long a replica stays closed to another giver of orders.
    """

    pause_s: float
    clock: Callable[[], float]
    _own: dict[str, float] = attrs.field(factory=dict)
    _others: dict[str, float] = attrs.field(factory=dict)
    _listening_since: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin to listen."""
        self._listening_since = self.clock()

    @property
    def is_complete(self) -> bool:
        """Whether any order that still counts would have been heard of."""
        return self.clock() - self._listening_since >= self.pause_s

    def note_own(self, replica: str) -> None:
        """Note an order that is about to be given here."""
        self._own[replica] = self.clock()

    def hear(self, ages: Mapping[str, float]) -> None:
        """Take in the ages, in seconds, of another planner's orders."""
        now = self.clock()
        for replica, age in ages.items():
            known = self._others.get(replica, now - age)
            self._others[replica] = max(known, now - age)

    def ages(self) -> dict[str, float]:
        """Return the ages of own orders that still count."""
        now = self.clock()
        return {
            replica: round(now - moment, 3)
            for replica, moment in self._own.items()
            if now - moment < self.pause_s
        }

    def is_closed(self, replica: str) -> bool:
        """Whether another planner ordered a replica too short a time ago."""
        moment = self._others.get(replica)
        return moment is not None and self.clock() - moment < self.pause_s
