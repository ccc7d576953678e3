"""The messages, each named for what it carries."""

from enum import StrEnum, unique
from typing import Final

import attrs

ATTACHED: Final = 'attached'
NEVER_RAN: Final = 'never_ran'
UNKNOWN: Final = 'unknown'


@unique
class Topic(StrEnum):
    """Topics of notices and calls."""

    REPORT = 'report'
    LOAD = 'load'
    FOLLOW = 'follow'
    ORDER = 'order'
    ATTACH = 'attach'
    CONFIGURATION = 'configuration'
    CONFIGURATION_REQUEST = 'configuration_request'
    CLAIM = 'claim'
    CRASH = 'crash'


@attrs.frozen
class ArtifactState:
    """A model or adapter in accelerator memory, as the agent's ledger has it.

    ``state`` is ``loading``, ``ready``, ``draining`` or ``unloading``.
    """

    name: str
    kind: str
    memory_mb: int
    state: str
    model: str = ''


@attrs.frozen
class Report:
    """State and load of one upstream.

    ``running`` counts those in
    flight by model. ``step_s`` is the time
    between tokens that the agent sees, in seconds.
    """

    upstream: str
    kind: str
    zone: str
    incarnation: str
    version: int
    settled: bool
    healthy: bool
    leaving: bool
    capacity_mb: int
    epoch: int
    in_flight: int
    limit: int
    artifacts: tuple[ArtifactState, ...] = ()
    running: dict[str, int] = attrs.field(factory=dict)
    step_s: float = 0
    first_token_s: float = 0
    pool: str = ''


@attrs.frozen
class Load:
    """The part of a report that changes with each request."""

    in_flight: int
    step_s: float
    first_token_s: float
    running: dict[str, int]


@attrs.frozen
class Follow:
    """Asks an agent for its reports, and tells the highest epoch known."""

    epoch: int = 0


@attrs.frozen
class Order:
    """An order of a planner shard under its fencing number ``epoch``.

    ``action`` is ``load``, ``unload`` or ``set_role``.
    """

    order_id: str
    shard: str
    epoch: int
    action: str
    artifact: ArtifactState


@attrs.frozen
class OrderReply:
    """Whether the agent took an order, and why not."""

    taken: bool
    reason: str = ''


@attrs.frozen
class Attach:
    """Asks for an attempt's stream from ``offset`` on, on this connection.

    ``incarnation`` is the agent's at the time of the dispatch, ``age_s`` the
    seconds since then: only the agent that was asked, and only while it
    remembers, can prove that an attempt never came.
    """

    request_id: str
    attempt: int
    offset: int
    incarnation: str
    age_s: float


@attrs.frozen
class AttachReply:
    """What an agent knows of an attempt.

    ``state`` is ``attached``; ``never_ran`` when it never came and never will
    run; or ``unknown`` when this agent cannot tell.
    """

    state: str


@attrs.frozen
class Configuration:
    """A configuration with its envelope, as the service keeps it."""

    revision: int
    text: str


@attrs.frozen
class ClaimCall:
    """Claims a key, or records its outcome, through the partition's owner.

    ``action`` is ``claim``, ``finish`` or ``release``.
    """

    action: str
    key: str
    nonce: str
    fingerprint: str
    status: int = 0
    answer: str = ''


@attrs.frozen
class ClaimReply:
    """What came of a claim call.

    ``verdict`` is ``granted``, ``in_progress``, ``finished``, ``reused`` or
    ``unavailable``.
    """

    verdict: str
    status: int = 0
    answer: str = ''


@attrs.frozen
class CrashNotice:
    """Fingerprints of what was in flight when an upstream crashed."""

    crash_id: str
    fingerprints: tuple[str, ...]
