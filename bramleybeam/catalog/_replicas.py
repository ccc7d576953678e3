"""Replicas of upstream services, as they describe themselves."""

from collections.abc import Mapping
from enum import StrEnum, unique

import attrs


@unique
class ReplicaState(StrEnum):
    """Whether a replica takes new work."""

    READY = 'ready'
    DRAINING = 'draining'


@attrs.frozen
class Holdings:
    """Models and adapters that a replica holds after some accepted orders.

    ``sequence`` counts the orders that it has accepted since its start; the
    holdings are as of that count. ``models`` maps a model's name to the names
    of its adapters. ``arriving`` are adapters on their way, as (model,
    adapter). ``in_memory`` and ``on_disk`` name models whose weights are at
    hand on the host.
    """

    sequence: int
    models: Mapping[str, frozenset[str]] = attrs.field(factory=dict)
    arriving: frozenset[tuple[str, str]] = frozenset()
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    is_busy: bool = False


@attrs.frozen
class Replica:
    """One start of one replica; ``started_ms`` is Unix time.

    Its ``holdings`` are as it last wrote them, without a count of orders.
    ``leaves_in_s`` is set when the replica has been told when it will end.
    """

    name: str
    service: str
    address: str
    zone: str
    state: ReplicaState
    slots: int
    started_ms: int
    holdings: Holdings
    leaves_in_s: float | None = None

    @property
    def incarnation(self) -> tuple[str, int]:
        """Tells this start from others under the same name."""
        return self.name, self.started_ms
