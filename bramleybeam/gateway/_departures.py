"""Replicas that are draining or removed, shared between gateways.

A gateway that is cut off from the store would keep sending requests to them.
Departures that one gateway reads from the store are therefore propagated to all
gateways over the tree.
"""

from collections.abc import Callable, Container, Mapping
from typing import Final

import attrs
import structlog

from bramleybeam.catalog import Replica, ReplicaState

# Time for which a departure is reported to neighbours after it was recorded.
_REPORT_S: Final = 6.0
# Time for which a missing entry is remembered. By then each gateway has read it
# from the store or has ended.
_RETENTION_S: Final = 60.0
# Number of stated departures that are remembered. An entry can be missing for a
# while and come back without the statement.
_MAX_STATED: Final = 4096
_log = structlog.get_logger('departures')


@attrs.frozen
class Departure:
    """The departure of one start of a replica.

    ``started_ms`` identifies the start. ``is_gone`` is set if the replica's
    entry is missing from the store, and not if the entry says draining.
    """

    started_ms: int
    is_gone: bool = False


@attrs.define
class _DepartureEntry:
    departure: Departure
    recorded_at: float


class DepartureTable:
    """Departures by replica name; ``clock`` returns seconds.

    The callbacks in ``on_new`` are called with the departures that are new.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty table."""
        self.on_new: list[Callable[[Mapping[str, Departure]], None]] = []
        self._clock = clock
        self._entries: dict[str, _DepartureEntry] = {}

    def learn(self, departures: Mapping[str, Departure]) -> None:
        """Record departures read from the store or sent by a neighbour."""
        new = {
            name: departure
            for name, departure in departures.items()
            if self._is_new(name, departure)
        }
        if not new:
            return
        now = self._clock()
        self._entries.update(
            (name, _DepartureEntry(departure, now))
            for name, departure in new.items()
        )
        for name, departure in new.items():
            _log.info('replica_leaves', replica=name, gone=departure.is_gone)
        for callback in self.on_new:
            callback(new)

    def find(self, replica: Replica) -> Departure | None:
        """Return the departure of this start of a replica, or ``None``."""
        entry = self._entries.get(replica.name)
        if entry is None or entry.departure.started_ms != replica.started_ms:
            return None
        return entry.departure

    def accepts_requests(self, replica: Replica, *, is_fresh: bool) -> bool:
        """Whether a replica accepts new requests.

        ``is_fresh`` is whether this gateway's copy of the store is fresh.
        A report that the replica's entry is missing from the store counts only
        while that copy is stale.
        """
        if replica.state != ReplicaState.READY:
            return False
        departure = self.find(replica)
        return departure is None or (departure.is_gone and is_fresh)

    def forget(self, replica: Replica) -> None:
        """Drop an ``is_gone`` departure: the entry is in the store again."""
        current = self.find(replica)
        if current is not None and current.is_gone:
            self._entries.pop(replica.name)

    def drop_expired(self, listed: Container[str]) -> None:
        """Drop old departures of replicas that are not in ``listed``.

        A gateway that is cut off from the store may list a replica long after
        it has begun to leave. What a replica has stated itself is dropped only
        when there is too much of it, the oldest first.
        """
        now = self._clock()
        excess = len(self._entries) - _MAX_STATED
        for name, entry in tuple(self._entries.items()):
            if name in listed or now - entry.recorded_at <= _RETENTION_S:
                continue
            if entry.departure.is_gone or excess > 0:
                self._entries.pop(name)
                excess -= 1

    def list_recent(self) -> dict[str, Departure]:
        """Return the departures to report to neighbours."""
        now = self._clock()
        return {
            name: entry.departure
            for name, entry in self._entries.items()
            if now - entry.recorded_at <= _REPORT_S
        }

    def _is_new(self, name: str, departure: Departure) -> bool:
        entry = self._entries.get(name)
        if entry is None or entry.departure.started_ms < departure.started_ms:
            return True
        # A draining state is final and replaces a missing entry. An entry may
        # be missing only because its lease lapsed.
        current = entry.departure
        is_same_start = current.started_ms == departure.started_ms
        return is_same_start and current.is_gone and not departure.is_gone
