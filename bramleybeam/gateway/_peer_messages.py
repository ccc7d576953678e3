"""The messages that gateways send each other."""

from collections.abc import Mapping, Sequence

import attrs

from bramleybeam.gateway._departures import Departure
from bramleybeam.gateway._loads import LoadReport
from bramleybeam.gateway._pending_demand import PendingDemand
from bramleybeam.gateway._placement import PlacementDelta, PlacementVersion
from bramleybeam.gateway._tree import ObservedPlanner
from bramleybeam.orders import Demand


@attrs.frozen
class ObservedStoreState:
    """What a gateway has read of the store, or heard that others have."""

    revision: int = 0
    planner: ObservedPlanner = ObservedPlanner()


@attrs.frozen
class SubtreeReport:
    """What a gateway tells its parent, for itself and all below it.

    ``period_s`` is about when the next one comes, ``depth`` how many rows of
    gateways are below. ``version`` tells which of the planner's rows it has,
    ``departures`` which replicas leave.
    """

    period_s: float
    depth: int = 0
    version: PlacementVersion = PlacementVersion()
    store: ObservedStoreState = ObservedStoreState()
    loads: Mapping[str, LoadReport] = attrs.field(factory=dict)
    demand: Demand = attrs.field(factory=Demand)
    unreachable: Sequence[str] = ()
    departures: Mapping[str, Departure] = attrs.field(factory=dict)


@attrs.frozen
class ParentUpdate:
    """What a gateway tells a child of all others, and the planner's word.

    ``loads`` is ``None`` where only ``delta`` are told. ``order_ages`` are the
    ages, in seconds, of the sender's own orders by replica; ``None`` when
    the sender is not the planner.
    """

    period_s: float
    delta: PlacementDelta = PlacementDelta()
    store: ObservedStoreState = ObservedStoreState()
    loads: Mapping[str, LoadReport] | None = None
    order_ages: Mapping[str, float] | None = None
    departures: Mapping[str, Departure] = attrs.field(factory=dict)


@attrs.frozen
class DepartureUpdate:
    """Replicas that leave, which the sender has just learnt of."""

    rows: Mapping[str, Departure]


@attrs.frozen
class OrderAnnouncement:
    """Ages, in seconds, of orders that the sender is about to give."""

    ages: Mapping[str, float]


@attrs.frozen
class ResyncRequest:
    """Asks the parent for the planner's rows from a mark on."""

    version: PlacementVersion


@attrs.frozen
class Probe:
    """Asks a gateway that fell silent whether it hears and answers."""


@attrs.frozen
class ProbeAnswer:
    """Answers a probe."""


PeerMessage = (
    SubtreeReport
    | ParentUpdate
    | PendingDemand
    | DepartureUpdate
    | OrderAnnouncement
    | ResyncRequest
    | Probe
    | ProbeAnswer
)
