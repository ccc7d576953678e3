"""State of the planner of a shard, and the upstreams that it plans."""

from collections.abc import Iterator

import attrs

from bramleybeam.decisions import PlannedOrder, ShardPlanner, ShardUpstream
from bramleybeam.documents import Document
from bramleybeam.entry._directory import Directory
from bramleybeam.keyvalue import LeaseKeeper
from bramleybeam.messages import Order


@attrs.define
class ShardState:
    """State that the holder of a shard keeps between planning rounds.

    ``held_since`` is in monotonic seconds. ``unanswered`` holds the orders
    whose agents have not answered; they are sent again each round.
    """

    lease: LeaseKeeper
    held_since: float = 0
    planner: ShardPlanner | None = None
    unanswered: dict[Order, PlannedOrder] = attrs.field(factory=dict)


def list_upstreams(
    directory: Directory,
    zone: str,
    document: Document,
) -> Iterator[ShardUpstream]:
    """Yield the engine upstreams of an availability zone, as last reported."""
    for view in directory:
        configured = document.upstreams_by_name.get(view.name)
        if (
            configured is None
            or configured.kind != 'engine'
            or view.zone != zone
        ):
            continue
        yield ShardUpstream(
            name=view.name,
            pool=configured.pool,
            accelerator_mb=configured.accelerator_mb,
            is_available=directory.is_usable(view),
            report=view.report,
        )
