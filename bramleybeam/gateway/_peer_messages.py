"""The messages that gateways send each other."""

from collections.abc import Mapping, Sequence

import attrs

from bramleybeam.gateway._departures import Departure
from bramleybeam.gateway._failures import OutcomeCounts
from bramleybeam.gateway._loads import RemoteLoads
from bramleybeam.gateway._pending_demand import PendingDemand
from bramleybeam.gateway._placement import PlacementDelta, PlacementVersion
from bramleybeam.gateway._suspect_report import SuspectReport
from bramleybeam.gateway._tree import ObservedPlanner
from bramleybeam.limits import Incarnation
from bramleybeam.orders import Demand
from bramleybeam.quotas import QuotaGrant, QuotaRequest
from bramleybeam.workspaces import KeyReport


@attrs.frozen
class ObservedStoreState:
    """The newest state of the store that a gateway knows.

    ``revision`` is the store revision up to which it has read; ``planner`` is
    the newest planner that it has read or that a peer has reported, and
    ``version`` the newest version of the configuration, likewise.
    """

    revision: int = 0
    planner: ObservedPlanner = ObservedPlanner()
    version: int = 0


@attrs.frozen
class SubtreeReport:
    """The state of a gateway and of all gateways below it, for its parent.

    ``period_s`` is the approximate time until the next report, ``depth`` the
    number of levels of gateways below the sender, ``version`` the placement
    version that the sender has. ``unreachable`` are the replicas that the
    subtree backs off from, ``departures`` the replicas that are leaving.
    ``pauses`` are the seconds that are left of the pauses that replicas have
    asked of the subtree, ``outcomes`` the counts of replicas with failures,
    ``suspects`` the requests that may crash replicas. ``keys`` is what is told
    of callers' keys, where their age is limited.
    """

    period_s: float
    depth: int = 0
    version: PlacementVersion = PlacementVersion()
    store: ObservedStoreState = ObservedStoreState()
    loads: RemoteLoads = RemoteLoads()
    demand: Demand = attrs.field(factory=Demand)
    unreachable: Sequence[str] = ()
    departures: Mapping[str, Departure] = attrs.field(factory=dict)
    pauses: Mapping[Incarnation, float] = attrs.field(factory=dict)
    outcomes: Mapping[str, OutcomeCounts] = attrs.field(factory=dict)
    suspects: SuspectReport = SuspectReport()
    keys: KeyReport | None = None


@attrs.frozen
class ParentUpdate:
    """The loads of all other gateways and the planner's rows, for a child.

    ``period_s`` is the approximate time until the next update with ``loads``;
    ``loads`` is ``None`` in an update that only has changed rows in ``delta``.
    ``order_ages`` are the ages, in seconds, of the orders that the sender sent,
    by replica; ``None`` if the sender is not the planner. ``pauses`` are the
    seconds that are left of the pauses that replicas have asked for,
    ``outcomes`` the counts of replicas with failures, ``suspects`` the requests
    that may crash replicas. ``keys`` is what is told of callers' keys, where
    their age is limited.
    """

    period_s: float
    delta: PlacementDelta = PlacementDelta()
    store: ObservedStoreState = ObservedStoreState()
    loads: RemoteLoads | None = None
    order_ages: Mapping[str, float] | None = None
    departures: Mapping[str, Departure] = attrs.field(factory=dict)
    pauses: Mapping[Incarnation, float] = attrs.field(factory=dict)
    outcomes: Mapping[str, OutcomeCounts] = attrs.field(factory=dict)
    suspects: SuspectReport = SuspectReport()
    keys: KeyReport | None = None


@attrs.frozen
class DepartureUpdate:
    """Replicas that are leaving, sent as soon as the sender learns of them."""

    rows: Mapping[str, Departure]


@attrs.frozen
class SuspectUpdate:
    """New facts on requests that may crash replicas, sent immediately."""

    report: SuspectReport


@attrs.frozen
class OrderAnnouncement:
    """Ages, in seconds, of the orders that a planner is about to send.

    An age is negative if the order is announced ahead of its time.
    """

    ages: Mapping[str, float]


@attrs.frozen
class ResyncRequest:
    """Asks the parent for the placement rows newer than a version."""

    version: PlacementVersion


@attrs.frozen
class Probe:
    """Asks an unresponsive gateway whether it can be reached again."""


@attrs.frozen
class ProbeAnswer:
    """The answer to a probe."""


TreeMessage = (
    SubtreeReport
    | ParentUpdate
    | PendingDemand
    | DepartureUpdate
    | SuspectUpdate
    | OrderAnnouncement
    | ResyncRequest
    | Probe
    | ProbeAnswer
)
PeerMessage = TreeMessage | QuotaRequest | QuotaGrant
