"""State of a caller's request while a gateway handles it."""

import enum
from functools import cached_property
from itertools import chain, repeat

import attrs
import xxhash

from bramleybeam.catalog import Replica, Route, Service, Workspace
from bramleybeam.costs import RequestWork
from bramleybeam.errors import Refusal
from bramleybeam.gateway._stream_origins import StreamOrigin
from bramleybeam.limits import max_queue_wait
from bramleybeam.orders import PREFILL_TOKENS_PER_S, Target
from bramleybeam.platform import RequestFacts
from bramleybeam.queueing import QueuedRequest
from bramleybeam.quotas import Charge
from bramleybeam.relay import CallerConnection, InboundRequest, find_header


class RequestRefusedError(Exception):
    """Raised to answer a request with a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        """Store the refusal to answer with."""
        super().__init__(refusal.message)
        self.refusal = refusal


class SuspectKind(enum.StrEnum):
    """What a suspect of a crash is, from the least to the most specific.

    The first part of a prompt is usually shared by all requests of a route.
    """

    FIRST_PART = 'first'
    PART = 'part'
    REQUEST = 'request'


class QueueExitReason(enum.StrEnum):
    """Why a request stopped waiting for a replica."""

    STOPPING = 'stopping'
    NO_PLANNER = 'no_planner'
    ARRIVES_LATER = 'arrives_later'
    REPLICAS_PAUSED = 'replicas_paused'
    WAITED_LONG = 'waited_long'
    QUEUE_TOO_LONG = 'queue_too_long'


@attrs.define(eq=False)
class Job:
    """State of one request; times are in seconds of the event loop's clock.

    ``sends`` counts the attempts in which it was sent to a replica, ``runs``
    those in which it may have run. ``first_sent_at`` and ``sent_at`` are the
    times of the first and the last send, ``first_event_at`` that of the first
    event of a stream; they are 0 before.
    ``last_event`` is the id of the last event sent to the caller,
    ``last_event_at`` the time of it, ``events`` the number of events and
    ``longest_gap_s`` the longest time between two of them.
    ``excluded_replicas`` are the names of those on which an attempt failed.
    ``queue_exit`` is the reason why it was refused while it waited. ``is_trial``
    is set for one attempt of a request that otherwise would be quarantined.
    ``workspace`` is the workspace that the caller's key opens, ``hides_keys``
    whether the configuration requires keys, ``checked_version`` the version of
    the configuration that the key was checked against, and ``charge`` what the
    request was charged of its quota. ``work`` is what it was estimated to cost
    when it was last sent, until that was compared with what it took. ``origin``
    is the software that began the stream, once that matters, and
    ``is_delivered`` whether the whole answer was sent. ``blocks``
    are hashes of the prompt's parts, for the estimate of the tokens that a
    replica has cached.
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
    first_sent_at: float = 0
    sent_at: float = 0
    first_event_at: float = 0
    last_event_at: float = 0
    events: int = 0
    longest_gap_s: float = 0
    excluded_replicas: set[str] = attrs.field(factory=set)
    queue_exit: QueueExitReason | None = None
    is_trial: bool = False
    workspace: Workspace | None = None
    hides_keys: bool = False
    checked_version: int | None = None
    charge: Charge | None = None
    work: RequestWork | None = None
    origin: StreamOrigin | None = None
    is_delivered: bool = False
    blocks: tuple[int, ...] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Hash each part of the prompt together with the target."""
        target_name = '/'.join(self.target)
        self.blocks = tuple(
            xxhash.xxh64_intdigest(f'{target_name} {part.name}'.encode())
            for part in self.facts.parts
        )

    def note_sent(self, now: float) -> None:
        """Record that the request was sent to a replica and may run there."""
        self.sends += 1
        self.runs += 1
        self.first_sent_at = self.first_sent_at or now
        self.sent_at = now

    def note_events(self, count: int, last_event: str, now: float) -> None:
        """Record ``count`` events sent to the caller at ``now``, in seconds."""
        if self.first_event_at:
            gap_s = now - self.last_event_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        else:
            self.first_event_at = now
        self.last_event_at = now
        self.last_event = last_event
        self.events += count

    @cached_property
    def fingerprint(self) -> str:
        """Hash of what repeats of a request share: target, caller and body.

        Each repeat has another request id. The caller's key is not part of it,
        because neighbours and the store learn the fingerprint.
        """
        request = self.request
        if self.hides_keys:
            caller = self.workspace_name.encode()
        else:
            caller = find_header(request.headers, b'authorization') or b''
        first_line = b'%s %s' % (request.method, request.target)
        described = (first_line, request.host.encode(), caller, request.body)
        return xxhash.xxh64_hexdigest(b'\n'.join(described))

    @property
    def suspect_keys(self) -> tuple[str, ...]:
        """What may be the cause if this request crashes a replica."""
        return (f'{SuspectKind.REQUEST}:{self.fingerprint}', *self.part_keys)

    @cached_property
    def part_keys(self) -> tuple[str, ...]:
        """Hashes of the prompt's parts that other requests may share.

        The last part belongs to the request or to its session. The same part is
        the same suspect whatever model the request is for.
        """
        kinds = chain((SuspectKind.FIRST_PART,), repeat(SuspectKind.PART))
        shared_parts = self.facts.parts[:-1]
        return tuple(
            f'{kind}:{xxhash.xxh64_hexdigest(part.name.encode())}'
            for kind, part in zip(kinds, shared_parts, strict=False)
        )

    @property
    def priority(self) -> int:
        """Rank of the request, 0 is the most urgent.

        The priority of the workspace, if it has one, replaces the route's.
        """
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority

    @property
    def workspace_name(self) -> str:
        """Name of the workspace; empty if there is none."""
        return self.workspace.name if self.workspace else ''

    @property
    def target(self) -> Target:
        """The requested model and adapter; empty for plain services."""
        return self.facts.model, self.facts.adapter

    @property
    def requirement(self) -> tuple[Target, StreamOrigin | None]:
        """What a replica needs to serve this request."""
        return self.target, self.origin

    @property
    def stream_id(self) -> str:
        """The id of the request that began the stream.

        A caller that has received no event begins another stream.
        """
        is_resumed = self.facts.last_event and self.facts.resumed_id
        return self.facts.resumed_id if is_resumed else self.facts.request_id

    def may_go_on_at(self, replica: Replica) -> bool:
        """Whether a replica has the software that began the stream, if any."""
        origin = self.origin
        return origin is None or origin.version == replica.software_version

    @property
    def received_at(self) -> float:
        """Time at which the request began to arrive, in seconds."""
        return self.request.received_at

    @property
    def max_queue_wait_s(self) -> float:
        """Longest wait for a replica in seconds, counted from the arrival."""
        return max_queue_wait(self.route, self.deadline_at - self.received_at)

    @property
    def waiting(self) -> QueuedRequest:
        """The request as an entry of the queue, with its slack."""
        engine = self.service.engine
        tokens = self.facts.prompt_tokens + self.facts.output_tokens
        prefill_s = self.facts.prompt_tokens / PREFILL_TOKENS_PER_S
        return QueuedRequest(
            self.received_at,
            self.route.objective_s,
            self.max_queue_wait_s,
            self.priority,
            prefill_s if engine else 0,
            self.workspace.name if self.workspace else '',
            0 if self.sends else max(1, tokens),
        )
