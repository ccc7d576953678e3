"""Messages between processes.

Memory is in MB and times are in seconds. Offsets are in tokens, or in bytes if
the upstream is a service.
"""

from enum import StrEnum, unique
from typing import Final

import attrs

ATTACHED: Final = 'attached'
NEVER_RAN: Final = 'never_ran'
UNKNOWN: Final = 'unknown'


@unique
class Topic(StrEnum):
    """Topics of notices and calls; a topic determines the type of the body."""

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
    """A model or adapter in the agent's ledger of accelerator memory.

    ``state`` is ``loading``, ``ready``, ``draining`` or ``unloading``; ``model``
    is the base model of an adapter.
    """

    name: str
    kind: str
    memory_mb: int
    state: str
    model: str = ''


@attrs.frozen
class Report:
    """State and load of one upstream.

    ``running`` is the number of requests in flight by model. ``step_s`` is the
    time between tokens that the agent observes. ``settled`` means that the
    agent accepts orders. ``limit`` is the maximum number of requests in flight.
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
    """The part of a report that can change with each request."""

    in_flight: int
    step_s: float
    first_token_s: float
    running: dict[str, int]


@attrs.frozen
class Follow:
    """Reports the highest epoch that the sending entry knows to an agent."""

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
    """Whether the agent accepted an order, and the reason if it did not."""

    taken: bool
    reason: str = ''


@attrs.frozen
class Attach:
    """Requests an attempt's stream from ``offset`` on, on this link.

    ``incarnation`` is the agent's incarnation at the time of the dispatch and
    ``age_s`` the time since then. Only the same incarnation, and only as long
    as it retains finished relays, can prove that an attempt never arrived.
    """

    request_id: str
    attempt: int
    offset: int
    incarnation: str
    age_s: float


@attrs.frozen
class AttachReply:
    """The state of an attempt at an agent.

    ``state`` is ``attached``; ``never_ran`` if the attempt did not arrive and
    will not run; or ``unknown`` if the agent cannot determine it.
    """

    state: str


@attrs.frozen
class Configuration:
    """A configuration with its envelope, as in the key-value service."""

    revision: int
    text: str


@attrs.frozen
class ClaimCall:
    """Claims a key, or records its outcome, at the partition's committer.

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
    """The outcome of a claim call.

    ``verdict`` is ``granted``, ``in_progress``, ``finished``, ``reused`` or
    ``unavailable``.
    """

    verdict: str
    status: int = 0
    answer: str = ''


@attrs.frozen
class CrashNotice:
    """Fingerprints of the requests in flight when an upstream crashed."""

    crash_id: str
    fingerprints: tuple[str, ...]
