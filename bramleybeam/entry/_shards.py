"""What the planner of a shard remembers, and the upstreams that it sees."""

from collections.abc import Iterator

import attrs

from bramleybeam.decisions import PlannedOrder, ShardPlanner, ShardUpstream
from bramleybeam.documents import Document
from bramleybeam.entry._directory import Directory
from bramleybeam.keyvalue import LeaseKeeper
from bramleybeam.messages import Order


@attrs.define
class ShardState:
    """What the holder of one shard remembers between rounds."""

    lease: LeaseKeeper
    held_since: float = 0
    planner: ShardPlanner | None = None
    unanswered: dict[Order, PlannedOrder] = attrs.field(factory=dict)


def list_upstreams(
    directory: Directory,
    zone: str,
    document: Document,
) -> Iterator[ShardUpstream]:
    """Yield the model upstreams of an availability zone, as last reported."""
    for view in directory:
        known = document.upstreams_by_name.get(view.name)
        if known is None or known.kind != 'engine' or view.zone != zone:
            continue
        yield ShardUpstream(
            name=view.name,
            pool=known.pool,
            accelerator_mb=known.accelerator_mb,
            is_available=directory.is_usable(view),
            report=view.report,
        )
