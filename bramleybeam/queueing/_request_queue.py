"""The order in which requests that share replicas get free places.

Handles this load: requests for several models and adapters wait for the same
replicas. With a queue for each of them, a request that could wait takes the
place that an urgent one in another queue needs.

At a load that can't be served, an order by slack alone makes every request
late: the place goes to the one that is late already. Requests that can be on
time are therefore served first, and late ones get a share of the places, so
that they are answered too.
"""

from collections.abc import Iterator
from typing import Final

import attrs

from bramleybeam.queueing._shares import MAX_DELAY_S, WorkspaceShares


# Seconds of slack that outweigh one level of priority.
_PRIORITY_STEP_S: Final = 0.5
# Of this number of places that are assigned while both kinds wait, one goes to
# the requests that can't be on time any more.
_LATE_EVERY: Final = 4


@attrs.frozen(eq=False)
class QueuedRequest:
    """A request that waits for an upstream.

    ``received_at`` is monotonic time, in seconds. ``answer_within_s`` is the
    latency target and ``longest_wait_s`` the queue time limit. ``service_s``
    is the least time from the end of the wait to the answer. ``priority`` 0 is
    the most urgent. ``tokens`` is the cost to ``workspace``.
    """

    received_at: float
    answer_within_s: float
    longest_wait_s: float
    priority: int = 0
    service_s: float = 0
    workspace: str = ''
    tokens: float = 0

    def slack(self, now: float) -> float:
        """Return for how many seconds it can still wait and be on time.

        The slack is negative if it can't be on time any more.
        """
        waited_s = now - self.received_at
        return self.answer_within_s - self.service_s - waited_s

    def time_left(self, now: float) -> float:
        """Return the seconds until its queue time limit is exceeded."""
        return self.received_at + self.longest_wait_s - now

    def urgency(self, now: float, delay_s: float = 0) -> float:
        """Return the sort key among requests that are all late, or all not.

        ``delay_s`` is the delay of its workspace, in seconds of slack. Late ones are served in proportion to their number, whatever their
        priority: the next is the one with the least share of its time left.
        """
        slack_s = self.slack(now)
        if slack_s < 0:
            left_share = self.time_left(now) / self.longest_wait_s
            return left_share + delay_s / MAX_DELAY_S
        return slack_s + _PRIORITY_STEP_S * self.priority + delay_s


class RequestQueue:
    """The requests that wait for the same replicas, in any order."""

    def __init__(self) -> None:
        """Start without requests."""
        self._requests: dict[QueuedRequest, None] = {}
        self._shares = WorkspaceShares()
        # Places that went to requests that could be on time, since the last
        # one that went to a late request.
        self._timely_places = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._requests)

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Return the requests by the time at which they were added."""
        return iter(self._requests)

    @property
    def is_turn_of_late(self) -> bool:
        """Whether the next place is for a late request, if one waits."""
        return self._timely_places >= _LATE_EVERY - 1

    def add(self, queued: QueuedRequest, now: float | None = None) -> None:
        """Add a request that begins to wait ``now``, or else on arrival.

        Its cost is counted. It is 0 if the request has waited before.
        """
        self._requests[queued] = None
        if queued.tokens:
            now = queued.received_at if now is None else now
            self._shares.note(queued.workspace, queued.tokens, now)

    def discard(self, queued: QueuedRequest) -> None:
        """Remove a request that has left, if it is in the queue."""
        self._requests.pop(queued, None)

    def note_served(self, queued: QueuedRequest, now: float) -> None:
        """Remove a request that was assigned a place."""
        self.discard(queued)
        if queued.slack(now) < 0:
            self._timely_places = 0
        elif any(other.slack(now) < 0 for other in self._requests):
            self._timely_places += 1

    def in_order(self, now: float) -> list[QueuedRequest]:
        """Return the requests, the next one to be served first."""
        late_first = self.is_turn_of_late
        ranked = [
            (
                (queued.slack(now) < 0) != late_first,
                queued.urgency(
                    now, self._shares.delay_s(queued.workspace, now)
                ),
                queued,
            )
            for queued in self._requests
        ]
        ranked.sort(key=_sort_key)
        return [queued for _, _, queued in ranked]

    def is_next(self, queued: QueuedRequest, now: float) -> bool:
        """Whether no other request is to be served before ``queued``."""
        return self.in_order(now)[0] is queued


def count_places_before(timely: int, late: int, *, is_late: bool) -> int:
    """Return how many places are assigned before it is a request's turn.

    ``timely`` and ``late`` are the numbers of requests before it that can and
    can't be on time.
    """
    if is_late:
        return min(timely + late, _LATE_EVERY * (late + 1) - 1)
    return timely


def _sort_key(row: tuple[bool, float, QueuedRequest]) -> tuple[bool, float]:
    return row[0], row[1]
