"""Replicas of upstream services, as they report themselves."""

from collections.abc import Mapping
from enum import StrEnum, unique

import attrs


@unique
class ReplicaState(StrEnum):
    """Whether a replica accepts new requests."""

    READY = 'ready'
    DRAINING = 'draining'


@attrs.frozen
class Holdings:
    """Models and adapters that a replica holds after ``sequence`` orders.

    ``sequence`` is the number of orders that the replica has accepted since
    its start. ``models`` maps a model's name to the names of its loaded
    adapters. ``arriving`` are the adapters that are being loaded, as (model,
    adapter). ``in_memory`` and ``on_disk`` name the models whose weights are
    cached on the host. ``is_busy`` is set while an order is carried out.
    """

    sequence: int
    models: Mapping[str, frozenset[str]] = attrs.field(factory=dict)
    arriving: frozenset[tuple[str, str]] = frozenset()
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    is_busy: bool = False


@attrs.frozen
class Replica:
    """One incarnation of a replica; ``started_ms`` is Unix time.

    ``holdings`` are those of the replica's last entry in the store, which
    has no order count. ``leaves_in_s`` is the time until the replica ends,
    ``None`` unless its end has been announced. ``software_version`` is that of
    its program; replicas of several versions may serve side by side.
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
    software_version: str = ''

    @property
    def incarnation(self) -> tuple[str, int]:
        """Name and start time, unique to one start of the replica."""
        return self.name, self.started_ms
