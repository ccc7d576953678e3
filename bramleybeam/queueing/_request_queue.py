"""The order in which requests that share replicas get free places.

Handles this load: requests for several models and adapters wait for the same
replicas. With a queue for each of them, a request that could wait takes the
place that an urgent one in another queue needs.
"""

from collections.abc import Iterator

import attrs


@attrs.frozen(eq=False)
class QueuedRequest:
    """A request that waits for an upstream.

    ``received_at`` is monotonic time, in seconds. ``answer_within_s`` is the
    latency target and ``longest_wait_s`` the queue time limit.
    """

    received_at: float
    answer_within_s: float
    longest_wait_s: float

    def slack(self, now: float) -> float:
        """Return the seconds left until the latency target is missed.

        The slack is negative once the target is missed. It is also negative
        once the request has waited for half of its queue time limit, which
        prevents starvation of requests with a distant target.
        """
        waited = now - self.received_at
        if waited > self.longest_wait_s / 2:
            return -waited
        return self.answer_within_s - waited


class RequestQueue:
    """The requests that wait for the same replicas, in any order."""

    def __init__(self) -> None:
        """Start without requests."""
        self._requests: dict[QueuedRequest, None] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._requests)

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Return the requests by the time at which they were added."""
        return iter(self._requests)

    def add(self, queued: QueuedRequest) -> None:
        """Add a request that begins to wait."""
        self._requests[queued] = None

    def discard(self, queued: QueuedRequest) -> None:
        """Remove a request that was served or has left."""
        self._requests.pop(queued, None)

    def in_order(self, now: float) -> list[QueuedRequest]:
        """Return the requests, the next one to be served first."""
        return sorted(self._requests, key=lambda queued: queued.slack(now))

    def is_next(self, queued: QueuedRequest, now: float) -> bool:
        """Whether no other request is to be served before ``queued``."""
        return self.in_order(now)[0] is queued
