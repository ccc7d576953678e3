"""Requests of this gateway that wait for the replicas of a service."""

import math
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager

import attrs

from bramleybeam.catalog import Replica
from bramleybeam.gateway._job import Job
from bramleybeam.gateway._loads import InFlightRequest, LoadTable
from bramleybeam.gateway._stream_origins import StreamOrigin
from bramleybeam.gateway._wait_limits import QueueForecast
from bramleybeam.orders import Target
from bramleybeam.queueing import (
    QueuedRequest,
    RequestQueue,
    ServiceTime,
    UrgentWork,
    count_places_before,
)

_Requirement = tuple[Target, StreamOrigin | None]


@attrs.frozen
class Assignment:
    """The replica for a request, and its entry for the load table.

    ``reservation`` counts it in the load table until it is sent.
    """

    replica: Replica
    in_flight: InFlightRequest
    reservation: AbstractContextManager[None]


@attrs.define(eq=False)
class Waiter:
    """A request in the queue, and what it was assigned.

    ``ahead`` is the number of places that others get before it, ``forecast``
    what was expected of its wait at ``forecast_at``, in seconds.
    """

    job: Job
    queued: QueuedRequest
    assignment: Assignment | None = None
    ahead: int = 0
    forecast: QueueForecast | None = None
    forecast_at: float = -math.inf

    def assign(
        self, replica: Replica, in_flight: InFlightRequest, loads: LoadTable
    ) -> None:
        """Reserve a place at a replica."""
        reservation = loads.track(replica.name, in_flight)
        reservation.__enter__()  # noqa: WPS609, PLC2801
        self.assignment = Assignment(replica, in_flight, reservation)

    def release(self) -> None:
        """End the reservation, if there is one."""
        if self.assignment is not None:
            self.assignment.reservation.__exit__(None, None, None)  # noqa: WPS609


class WaiterQueue:
    """The waiting requests for the replicas of one service.

    ``seen_changes`` and ``served_at`` tell when places were last assigned: the
    count of changes that was taken into account, and the time in seconds.
    ``urgent_work`` is the shortest objective of the requests of late, and
    ``service_time`` how long requests take at the replicas.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.seen_changes = -1
        self.served_at = 0.0
        self.urgent_work = UrgentWork()
        self.service_time = ServiceTime()
        self._order = RequestQueue()
        self._waiters: dict[QueuedRequest, Waiter] = {}

    def __len__(self) -> int:
        """Return the number of requests without an assignment."""
        return len(self._order)

    @property
    def is_turn_of_late(self) -> bool:
        """Whether the next place is for a late request."""
        return self._order.is_turn_of_late

    def add(self, job: Job, now: float) -> Waiter:
        """Add a request that begins to wait."""
        waiter = Waiter(job, job.waiting)
        self._order.add(waiter.queued, now)
        self._waiters[waiter.queued] = waiter
        # A place may be free for a request of this kind.
        self.seen_changes = -1
        return waiter

    def discard(self, waiter: Waiter) -> None:
        """Remove a request that stops waiting."""
        self._order.discard(waiter.queued)
        self._waiters.pop(waiter.queued, None)

    def note_served(self, waiter: Waiter, now: float) -> None:
        """Remove a request that was assigned a place."""
        self._order.note_served(waiter.queued, now)
        self._waiters.pop(waiter.queued)

    def in_order(self, now: float) -> Iterator[Waiter]:
        """Return the requests, the next one to be served first."""
        for queued in self._order.in_order(now):
            yield self._waiters[queued]


class AheadCounter:
    """Counts the places that go to others before each request of a queue.

    Only those requests count that can use no other replicas than it can.
    """

    def __init__(self, list_holders: Callable[[Job], list[Replica]]) -> None:
        """Store what returns the replicas that can serve a request."""
        self._list_holders = list_holders
        self._holders: dict[_Requirement, frozenset[str]] = {}
        self._timely: Counter[_Requirement] = Counter()
        self._late: Counter[_Requirement] = Counter()

    def add(self, waiter: Waiter, *, is_late: bool) -> None:
        """Set the number ahead of a request, and count it for the next ones."""
        requirement = waiter.job.requirement
        if requirement not in self._holders:
            holders = self._list_holders(waiter.job)
            self._holders[requirement] = frozenset(
                holder.name for holder in holders
            )
        waiter.ahead = count_places_before(
            self._count(self._timely, requirement),
            self._count(self._late, requirement),
            is_late=is_late,
        )
        counts = self._late if is_late else self._timely
        counts[requirement] += 1

    def _count(
        self, counts: Counter[_Requirement], requirement: _Requirement
    ) -> int:
        holders = self._holders[requirement]
        return sum(
            count
            for other, count in counts.items()
            if self._holders[other] <= holders
        )
