"""Record of the requests, the faults and the configurations of a soak."""

from collections import Counter

import attrs

# Time limits are not checked until this long after a fault.
FAULT_GRACE_S = 4.0
# Time after a fault by which a gateway has to know what the others know.
CONTACT_S = 3.0
# Bounds from the gateways' settings: drain-ms and config-apply-ms.
DRAIN_S = 2.0
CONFIGURATION_APPLY_S = 2.0
# Target of a fault interval that affects the store, not one gateway.
STORE = 'store'


@attrs.define(eq=False)
class CallerRequest:
    """One request of a caller; times are of the event loop's clock.

    ``process`` is the gateway process that received it. ``disconnected_at`` is
    set if the caller closed its connection before the answer was complete.
    ``key`` is what it was sent with, ``None`` if requests need no keys.
    """

    request_id: str
    path: str
    gateway: int
    process: object = attrs.field(repr=False)
    sent_at: float
    ended_at: float = 0
    status: int = 0
    is_sealed: bool = False
    is_complete: bool = False
    body: bytes = b''
    disconnected_at: float = 0
    key: object = attrs.field(default=None, repr=False)

    @property
    def is_ordinary(self) -> bool:
        """Whether the caller's key, if it needs one, is always valid."""
        return self.key is None or self.key.workspace == 'steady'

    def take(self, answer) -> None:
        """Record an answer."""
        self.status = answer.status
        self.is_sealed = 'bramleybeam-response-seal' in answer.headers
        self.body = answer.body
        self.is_complete = not answer.is_truncated

    @property
    def route(self) -> str:
        """The first part of the path."""
        return self.path.split('/')[1]


@attrs.frozen
class FaultInterval:
    """Time in which a fault affected a gateway or the store."""

    kind: str
    target: int | str
    started_at: float
    ended_at: float


@attrs.define
class ConfigurationVersion:
    """A written configuration; ``targets`` maps routes to services."""

    number: int
    written_at: float
    targets: dict[str, str]


@attrs.define
class DrainingReplica:
    """A replica whose entry was set to draining, and when."""

    name: str
    written_at: float


@attrs.frozen
class Crash:
    """A crash of a replica, and the name of what caused it."""

    name: str
    at: float


@attrs.define
class Record:
    """All observations that the checks use.

    Requests sent from ``final_period_from`` on are checked for recovery.
    """

    requests: list[CallerRequest] = attrs.field(factory=list)
    fault_intervals: list[FaultInterval] = attrs.field(factory=list)
    versions: list[ConfigurationVersion] = attrs.field(factory=list)
    draining: list[DrainingReplica] = attrs.field(factory=list)
    replicas: list = attrs.field(factory=list)
    fault_counts: Counter = attrs.field(factory=Counter)
    stopped_gateways: set = attrs.field(factory=set)
    crashes: list[Crash] = attrs.field(factory=list)
    violations: list[str] = attrs.field(factory=list)
    final_period_from: float = 0

    def note_fault(self, kind, target, started_at, ended_at) -> None:
        """Record the interval of a fault."""
        self.fault_intervals.append(
            FaultInterval(kind, target, started_at, ended_at)
        )

    def is_unaffected(self, gateway: int, start: float, end: float) -> bool:
        """Return whether time limits applied to a gateway all the time."""
        return not any(
            interval.target in {gateway, STORE}
            and interval.started_at <= end
            and interval.ended_at >= start - FAULT_GRACE_S
            for interval in self.fault_intervals
        )

    def fault_kinds_at(
        self, gateway: int, start: float, end: float
    ) -> set[str]:
        """Return the kinds of faults that affected a gateway in a time."""
        return {
            interval.kind
            for interval in self.fault_intervals
            if interval.target == gateway
            and interval.started_at <= end
            and interval.ended_at >= start
        }

    def versions_for(
        self, sent_at: float, ended_at: float
    ) -> list[ConfigurationVersion]:
        """Return the configurations that may apply to a request."""
        applied = [
            version
            for version in self.versions
            if version.written_at <= sent_at - CONFIGURATION_APPLY_S
        ]
        newer = [
            version
            for version in self.versions
            if sent_at - CONFIGURATION_APPLY_S < version.written_at <= ended_at
        ]
        return applied[-1:] + newer
