"""One caller's request on its way through a gateway."""

import enum

import attrs
import xxhash

from bramleybeam.catalog import Route, Service
from bramleybeam.decisions import QueuedRequest
from bramleybeam.errors import Refusal
from bramleybeam.limits import max_queue_wait
from bramleybeam.orders import Target
from bramleybeam.platform import RequestFacts
from bramleybeam.relay import CallerConnection, InboundRequest


class RequestRefusedError(Exception):
    """Ends a request with a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        """Store the refusal to answer with."""
        super().__init__(refusal.message)
        self.refusal = refusal


class QueueExitReason(enum.StrEnum):
    """Why a request stopped waiting for a replica."""

    STOPPING = 'stopping'
    NO_PLANNER = 'no_planner'
    ARRIVES_LATER = 'arrives_later'
    WAITED_LONG = 'waited_long'


@attrs.define(eq=False)
class Job:
    """State of one request; moments are in loop seconds.

    ``sends`` counts the times that it was handed to a replica, ``runs`` those
    after which it may have run; ``sent_at`` is when it was last handed over
    and ``first_event_at`` when its stream began. ``last_event`` is the id of
    the last event that the caller was given, ``last_event_at`` when that was,
    ``events`` their number and ``longest_gap_s`` the longest time between two.
    ``queue_exit`` tells why it stopped waiting when it was refused for that.
    ``blocks`` are hashes of the prompt's parts, for what replicas keep.
    """

    request: InboundRequest
    facts: RequestFacts
    route: Route
    service: Service
    connection: CallerConnection
    deadline_at: float
    sends: int = 0
    runs: int = 0
    last_event: str = ''
    sent_at: float = 0
    first_event_at: float = 0
    last_event_at: float = 0
    events: int = 0
    longest_gap_s: float = 0
    excluded_replicas: set[str] = attrs.field(factory=set)
    queue_exit: QueueExitReason | None = None
    blocks: tuple[int, ...] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Hash the parts of the prompt, each with what it was run by."""
        by = '/'.join(self.target)
        self.blocks = tuple(
            xxhash.xxh64_intdigest(f'{by} {part.name}'.encode())
            for part in self.facts.parts
        )

    def note_events(self, count: int, last_event: str, now: float) -> None:
        """Count events that the caller was given; ``now`` in seconds."""
        if self.first_event_at:
            gap_s = now - self.last_event_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        else:
            self.first_event_at = now
        self.last_event_at = now
        self.last_event = last_event
        self.events += count

    @property
    def target(self) -> Target:
        """The model and adapter that it asks for; empty for plain services."""
        return self.facts.model, self.facts.adapter

    @property
    def received_at(self) -> float:
        """When it began to arrive."""
        return self.request.received_at

    @property
    def max_queue_wait_s(self) -> float:
        """How long it may wait for a replica, from its arrival."""
        return max_queue_wait(self.route, self.deadline_at - self.received_at)

    @property
    def waiting(self) -> QueuedRequest:
        """Its place among those that wait."""
        return QueuedRequest(
            self.received_at,
            self.route.objective_s,
            self.deadline_at - self.received_at,
        )
