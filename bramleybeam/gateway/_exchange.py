"""The exchange of state with the neighbours of a gateway in the tree.

Subtree reports go up: the loads, the demand and the pending demand of a
gateway and of all gateways below it. Parent updates go down: the loads of all
other gateways and the planner's placement rows. The rate of messages to each
neighbour is limited to a fixed number of bytes a second, so that long messages
are sent less often and never saturate a link. Messages that show that a gateway
and the planner are reachable are short and are sent regardless of that limit.
"""

from collections.abc import Callable, Collection, Mapping
from typing import Final

import attrs

from bramleybeam.gateway._cluster_state import ClusterState
from bramleybeam.gateway._neighbour_pacer import (
    CHILD_TABLES_SHARE,
    PARENT_TABLES_SHARE,
    NeighbourPacer,
    neighbour_rate,
)
from bramleybeam.gateway._neighbour_tables import (
    NeighbourTables,
    observe_store,
)
from bramleybeam.gateway._order_history import OrderHistory
from bramleybeam.gateway._parent import ParentSelector
from bramleybeam.gateway._peer_codec import encode_peer_message
from bramleybeam.gateway._peer_messages import (
    DepartureUpdate,
    OrderAnnouncement,
    ParentUpdate,
    PeerMessage,
    Probe,
    ProbeAnswer,
    ResyncRequest,
    SubtreeReport,
    SuspectUpdate,
)
from bramleybeam.gateway._pending_demand import PendingDemand
from bramleybeam.gateway._placement import PlacementVersion

# Time for which the data of a neighbour is valid: at least this many seconds,
# and at least this many of the neighbour's message periods.
_MIN_EXPIRY_S: Final = 1.5
_EXPIRY_PERIODS: Final = 3
# Time between two checks of the parent and the children.
_REFRESH_S: Final = 0.5
# Levels of the tree; a report with a greater depth can only come from a cycle.
_MAX_DEPTH: Final = 16


@attrs.define
class _Child:
    """A gateway that reports to this one.

    Its last report is valid until ``expires_at``, in seconds of the directory's
    clock. ``version`` is the placement version that it is assumed to have,
    ``depth`` the number of levels below it, ``unreachable`` the replicas that
    it or a gateway below it backs off from.
    """

    pacer: NeighbourPacer
    expires_at: float = 0
    version: PlacementVersion = PlacementVersion()
    depth: int = 0
    unreachable: Collection[str] = ()


class PeerExchange:
    """Exchanges messages with the parent and the children of a gateway.

    ``send`` takes an address and a datagram; ``on_pending_changed`` is called
    when a child reports a change of its pending demand; ``is_planner`` returns
    whether this gateway is the planner.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        order_history: OrderHistory,
        parent: ParentSelector,
        send: Callable[[str, bytes], None],
        on_pending_changed: Callable[[], None],
        is_planner: Callable[[], bool],
    ) -> None:
        """Start without children, and subscribe to new departures."""
        self._is_planner = is_planner
        self._directory = cluster_state.directory
        self._tables = NeighbourTables(cluster_state)
        self._demand = cluster_state.demand
        self._order_history = order_history
        self._parent = parent
        self._send = send
        self._on_pending_changed = on_pending_changed
        self._parent_pacer = NeighbourPacer(
            '', PARENT_TABLES_SHARE, neighbour_rate(1)
        )
        self._children: dict[str, _Child] = {}
        self._refreshed_at = float('-inf')
        self._directory.departures.on_new.append(
            lambda rows: self.send_to_neighbours(DepartureUpdate(rows))
        )
        cluster_state.suspects.on_news.append(
            lambda report: self.send_to_neighbours(SuspectUpdate(report))
        )

    @property
    def children(self) -> tuple[str, ...]:
        """The addresses of the gateways that report to this one."""
        return tuple(self._children)

    @property
    def parent(self) -> str:
        """The address of the parent; empty if this gateway is the root."""
        return self._parent.address

    @property
    def is_deputy(self) -> bool:
        """Whether this gateway may succeed the planner, or has no parent."""
        return not self._parent.address or self._parent.is_deputy

    @property
    def has_responding_parent(self) -> bool:
        """Whether the parent passes on what this gateway has to know."""
        return self._parent.is_responding(self._directory.now())

    def tick(self) -> None:
        """Update the parent and the children, and send the messages due."""
        now = self._directory.now()
        if now - self._refreshed_at >= _REFRESH_S:
            self._refreshed_at = now
            self._directory.drop_expired()
            self._drop_expired_children(now)
            self._refresh_parent(now)
        if self._parent.address and self._parent_pacer.is_due(now):
            self._send_periodic(self._parent_pacer, self._make_report(now), now)
        for child in self._children.values():
            if child.pacer.is_due(now):
                parent_update = self._make_parent_update(child, now)
                self._send_periodic(child.pacer, parent_update, now)
            self._send_delta(child, now)

    def receive(self, message: PeerMessage, sender: str) -> None:
        """Handle a message from the gateway with the address ``sender``."""
        now = self._directory.now()
        if sender == self._parent.address:
            self._parent.note_contact(now)
        match message:
            case SubtreeReport():
                if message.depth < _MAX_DEPTH:
                    self._handle_report(message, sender, now)
            case ParentUpdate():
                if sender == self._parent.address:
                    self._handle_parent_update(message, now)
            case PendingDemand():
                self._demand.update_remote_pending(sender, message)
                self._on_pending_changed()
            case DepartureUpdate(rows=rows):
                self._tables.learn_departures(rows)
            case SuspectUpdate(report=report):
                self._tables.learn_suspects(report, sender)
            case OrderAnnouncement(ages=ages):
                self._order_history.merge_remote(ages)
            case ResyncRequest(version=version) if sender in self._children:
                self._children[sender].version = version
            case Probe():
                self._send(sender, encode_peer_message(ProbeAnswer()))
            case ProbeAnswer():
                self._parent.note_probe_answer(sender)

    def send_pending(self) -> None:
        """Send the pending demand to the parent without waiting for a tick.

        Nothing is sent if no request is waiting or the byte budget is spent;
        the next report has the same data.
        """
        now = self._directory.now()
        pending = self._demand.pending.total(
            now, excluded_child=self._parent.address
        )
        if self._parent.address and pending.waiting:
            datagram = encode_peer_message(pending)
            if self._parent_pacer.budget.take(len(datagram), now):
                self._send(self._parent_pacer.address, datagram)

    def send_changed_rows(self) -> None:
        """Send changed placement rows to the children without delay."""
        now = self._directory.now()
        for child in self._children.values():
            self._send_delta(child, now)

    def send_to_neighbours(self, news: PeerMessage) -> None:
        """Send news to all neighbours without delay."""
        now = self._directory.now()
        for pacer in self._list_pacers():
            self._send_immediately(pacer, news, now)

    def announce_orders(self, ages: Mapping[str, float]) -> None:
        """Send the children the ages, in seconds, of orders by replica.

        This is called just before the orders are sent to the replicas.
        """
        datagram = encode_peer_message(OrderAnnouncement(ages))
        for child in self._children.values():
            self._send(child.pacer.address, datagram)

    def _list_pacers(self) -> list[NeighbourPacer]:
        """Return the pacers of all neighbours."""
        pacers = [child.pacer for child in self._children.values()]
        if self._parent.address:
            pacers.append(self._parent_pacer)
        return pacers

    def _rate(self) -> float:
        """Return the bytes a second for each neighbour."""
        return neighbour_rate(len(self._list_pacers()))

    def _drop_expired_children(self, now: float) -> None:
        for address, child in tuple(self._children.items()):
            if now >= child.expires_at:
                self._children.pop(address)
                self._tables.forget(address)

    def _refresh_parent(self, now: float) -> None:
        for address in self._parent.take_probes(now):
            self._send(address, encode_peer_message(Probe()))
        previous_parent = self._parent.refresh(now)
        if previous_parent:
            self._tables.forget(previous_parent)
        if self._parent_pacer.address != self._parent.address:
            self._parent_pacer = NeighbourPacer(
                self._parent.address, PARENT_TABLES_SHARE, self._rate()
            )
        for pacer in self._list_pacers():
            pacer.set_rate(self._rate())

    def _handle_report(
        self, report: SubtreeReport, sender: str, now: float
    ) -> None:
        """Merge a child's report; send a new child an update immediately."""
        is_new = sender not in self._children
        pacer = NeighbourPacer(sender, CHILD_TABLES_SHARE, self._rate())
        child = self._children.setdefault(sender, _Child(pacer))
        expiry_s = max(_MIN_EXPIRY_S, _EXPIRY_PERIODS * report.period_s)
        child.expires_at = now + expiry_s
        if is_new:
            child.version = report.version
        child.depth = report.depth
        child.unreachable = report.unreachable
        has_pending_changed = self._tables.merge_report(
            report, sender, now, child.expires_at
        )
        if has_pending_changed:
            self._on_pending_changed()
        if is_new:
            parent_update = self._make_parent_update(child, now)
            self._send_periodic(child.pacer, parent_update, now)

    def _handle_parent_update(
        self, parent_update: ParentUpdate, now: float
    ) -> None:
        """Merge an update, and pass its changed rows on to the children.

        If a row is missing because a datagram was lost, the parent is asked to
        send the rows again.
        """
        expiry_s = max(_MIN_EXPIRY_S, _EXPIRY_PERIODS * parent_update.period_s)
        self._tables.merge_update(
            parent_update, self._parent_pacer.address, now, now + expiry_s
        )
        if parent_update.order_ages is not None:
            self._order_history.merge_remote(parent_update.order_ages)
        placement = self._directory.placement
        if placement.merge(parent_update.delta):
            self._directory.signal()
            self.send_changed_rows()
        if placement.is_missing_rows(parent_update.delta):
            self._send_immediately(
                self._parent_pacer, ResyncRequest(placement.version), now
            )

    def _make_report(self, now: float) -> SubtreeReport:
        parent = self._parent.address
        subtrees = [
            child
            for address, child in self._children.items()
            if address != parent
        ]
        unreachable: set[str] = set()
        unreachable.update(*(child.unreachable for child in subtrees))
        return self._tables.make_report(
            self._parent_pacer,
            1 + max((child.depth for child in subtrees), default=-1),
            unreachable,
            now,
        )

    def _make_parent_update(self, child: _Child, now: float) -> ParentUpdate:
        order_ages = (
            self._order_history.list_ages() if self._is_planner() else None
        )
        return self._tables.make_update(
            child.pacer, child.version, order_ages, now
        )

    def _send_periodic(
        self, pacer: NeighbourPacer, message: PeerMessage, now: float
    ) -> None:
        """Send complete tables and set the time of the next ones."""
        datagram = encode_peer_message(message)
        pacer.note_tables_sent(len(datagram), now)
        self._send(pacer.address, datagram)

    def _send_delta(self, child: _Child, now: float) -> None:
        """Send as many changed rows as the byte budget allows.

        If there are none, an empty update is sent when a keepalive is due.
        """
        max_rows = child.pacer.count_rows(now)
        delta = self._directory.placement.delta_since(child.version, max_rows)
        if not delta.rows and not child.pacer.is_keepalive_due(now):
            return
        child.version = delta.version
        child.pacer.last_sent_at = now
        parent_update = ParentUpdate(
            child.pacer.period_s,
            delta,
            observe_store(self._directory),
            keys=self._directory.keys.make_report(child.pacer.address),
        )
        self._send_immediately(child.pacer, parent_update, now)

    def _send_immediately(
        self, pacer: NeighbourPacer, message: PeerMessage, now: float
    ) -> None:
        """Send a message between the periodic ones, even over budget."""
        datagram = encode_peer_message(message)
        pacer.budget.spend(len(datagram), now)
        self._send(pacer.address, datagram)
