"""Replicas that leave, or are gone, as this gateway and its neighbours know.

A gateway that the store's word doesn't reach would go on giving them work. What
one gateway reads of the store therefore goes to all over the tree.
"""

from collections.abc import Callable, Mapping
from typing import Final

import attrs
import structlog

from bramleybeam.catalog import Replica, ReplicaState

# How long a departure is told after it was learnt.
_TELL_S: Final = 6.0
# How long it is kept; by then a gateway has read it of the store, or has ended.
_KEEP_S: Final = 60.0
_log = structlog.get_logger('departures')


@attrs.frozen
class Departure:
    """A start of a replica that leaves; ``is_gone`` if its entry is missing."""

    started_ms: int
    is_gone: bool = False


@attrs.define
class _DepartureEntry:
    departure: Departure
    learnt_at: float


class DepartureTable:
    """Departures by replica; ``clock`` gives seconds.

    ``on_new`` is called with what was learnt.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without any."""
        self.on_new: list[Callable[[Mapping[str, Departure]], None]] = []
        self._clock = clock
        self._rows: dict[str, _DepartureEntry] = {}

    def learn(self, departures: Mapping[str, Departure]) -> None:
        """Take in what the store or a neighbour tells."""
        news = {
            name: departure
            for name, departure in departures.items()
            if self._is_news(name, departure)
        }
        if not news:
            return
        now = self._clock()
        self._rows.update(
            (name, _DepartureEntry(departure, now))
            for name, departure in news.items()
        )
        for name, departure in news.items():
            _log.info('replica_leaves', replica=name, gone=departure.is_gone)
        for callback in self.on_new:
            callback(news)

    def find(self, replica: Replica) -> Departure | None:
        """Return the departure of this start of a replica, if one is known."""
        row = self._rows.get(replica.name)
        if row is None or row.departure.started_ms != replica.started_ms:
            return None
        return row.departure

    def takes_work(self, replica: Replica, *, is_fresh: bool) -> bool:
        """Whether a replica takes new work; ``is_fresh`` if the store's word is.

        That others miss its entry counts only while that word is old here.
        """
        if replica.state != ReplicaState.READY:
            return False
        departure = self.find(replica)
        return departure is None or (departure.is_gone and is_fresh)

    def forget(self, replica: Replica) -> None:
        """Drop that a replica is gone: its entry has come back."""
        known = self.find(replica)
        if known is not None and known.is_gone:
            self._rows.pop(replica.name)

    def list_recent(self) -> dict[str, Departure]:
        """Return what was learnt a moment ago."""
        now = self._clock()
        for name, row in tuple(self._rows.items()):
            if now - row.learnt_at > _KEEP_S:
                self._rows.pop(name)
        return {
            name: row.departure
            for name, row in self._rows.items()
            if now - row.learnt_at <= _TELL_S
        }

    def _is_news(self, name: str, departure: Departure) -> bool:
        row = self._rows.get(name)
        if row is None or row.departure.started_ms < departure.started_ms:
            return True
        # That it leaves is sure; that it is gone may only be a lapse.
        known = row.departure
        same = known.started_ms == departure.started_ms
        return same and known.is_gone and not departure.is_gone
