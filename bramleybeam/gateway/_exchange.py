"""What a gateway tells its neighbours in the tree, and takes from them.

Reports go up: the work, the demand and the wants of a gateway and all below
it. Summaries go down: the work of all others and the planner's rows. Each
neighbour is told as often as a fixed number of bytes a second allows, so that
long messages come less often and never crowd a link. Messages that show that a
gateway and the planner live are short and come in any case.
"""

from collections.abc import Callable, Collection, Mapping
from typing import Final

import attrs

from bramleybeam.gateway._beat_codec import encode_beat
from bramleybeam.gateway._beats import (
    Beat,
    Departures,
    OrdersGiven,
    Probe,
    ProbeAnswer,
    Report,
    RowsLacking,
    StoreSeen,
    Summary,
)
from bramleybeam.gateway._departures import Departure
from bramleybeam.gateway._edge import (
    DOWN_TABLES_SHARE,
    UP_TABLES_SHARE,
    Edge,
)
from bramleybeam.gateway._knowledge import Knowledge
from bramleybeam.gateway._order_times import OrderTimes
from bramleybeam.gateway._parent import ParentChoice
from bramleybeam.gateway._placement import Mark
from bramleybeam.gateway._wants import Wants

# Time after which what a neighbour told no longer counts: a least one, and a
# number of its own periods.
_STALE_S: Final = 1.5
_STALE_PERIODS: Final = 3
# How often the tree is looked after.
_REFRESH_S: Final = 0.5
# Rows of gateways below one another; more can only be a circle.
_MAX_DEPTH: Final = 16


@attrs.define
class _Child:
    """A gateway that reports here; its word counts until a moment.

    ``mark`` tells which of the planner's rows it was sent.
    """

    edge: Edge
    until: float = 0
    mark: Mark = Mark()
    depth: int = 0
    unreachable: Collection[str] = ()


class PeerExchange:
    """Keeps in touch with a parent and with children.

    ``send`` takes an address and a datagram; ``on_wants`` is called when a
    child tells what requests wait for.
    """

    def __init__(
        self,
        knowledge: Knowledge,
        order_times: OrderTimes,
        parent: ParentChoice,
        send: Callable[[str, bytes], None],
        on_wants: Callable[[], None],
        is_planner: Callable[[], bool],
    ) -> None:
        """Store what is told, to whom, and how."""
        self._is_planner = is_planner
        self._directory = knowledge.directory
        self._loads = knowledge.loads
        self._demand = knowledge.demand
        self._order_times = order_times
        self._parent = parent
        self._send = send
        self._on_wants = on_wants
        self._up = Edge('', UP_TABLES_SHARE)
        self._children: dict[str, _Child] = {}
        self._refreshed_at = float('-inf')
        self._directory.departures.on_news.append(self.tell_departures)

    @property
    def children(self) -> tuple[str, ...]:
        """The addresses of the gateways that report here."""
        return tuple(self._children)

    @property
    def parent(self) -> str:
        """The address of the gateway that this one reports to."""
        return self._parent.address

    def tick(self) -> None:
        """Look after the tree, and send what is due."""
        now = self._directory.now()
        if now - self._refreshed_at >= _REFRESH_S:
            self._refreshed_at = now
            self._drop_silent_children(now)
            self._refresh_parent(now)
        if self._parent.address and self._up.is_due(now):
            self._send_regular(self._up, self._make_report(now), now)
        for child in self._children.values():
            if child.edge.is_due(now):
                summary = self._make_summary(child, now)
                self._send_regular(child.edge, summary, now)
            self._send_news(child, now)

    def receive(self, beat: Beat, sender: str) -> None:
        """Take in a message of another gateway."""
        now = self._directory.now()
        if sender == self._parent.address:
            self._parent.note_heard(now)
        match beat:
            case Report():
                if beat.depth < _MAX_DEPTH:
                    self._hear_child(beat, sender, now)
            case Summary():
                if sender == self._parent.address:
                    self._hear_parent(beat, now)
            case Wants():
                self._demand.hear_wants(sender, beat)
                self._on_wants()
            case Departures(rows=rows):
                self._directory.departures.learn(rows)
            case OrdersGiven(ages=ages):
                self._order_times.hear(ages)
            case RowsLacking(mark=mark) if sender in self._children:
                self._children[sender].mark = mark
            case Probe():
                self._send(sender, encode_beat(ProbeAnswer()))
            case ProbeAnswer():
                self._parent.note_alive(sender)

    def tell_wants(self) -> None:
        """Tell the parent at once what requests wait for."""
        now = self._directory.now()
        wants = self._demand.wants.total(now, besides=self._parent.address)
        if self._parent.address and wants.waiting:
            datagram = encode_beat(wants)
            if self._up.budget.take(len(datagram), now):
                self._send(self._up.address, datagram)

    def tell_news(self) -> None:
        """Tell the children at once which rows have changed."""
        now = self._directory.now()
        for child in self._children.values():
            self._send_news(child, now)

    def tell_departures(self, news: Mapping[str, Departure]) -> None:
        """Tell all neighbours at once of replicas that leave."""
        now = self._directory.now()
        edges = [child.edge for child in self._children.values()]
        if self._parent.address:
            edges.append(self._up)
        for edge in edges:
            self._send_at_once(edge, Departures(news), now)

    def announce_orders(self, ages: Mapping[str, float]) -> None:
        """Tell the children of orders that are about to be given."""
        datagram = encode_beat(OrdersGiven(ages))
        for child in self._children.values():
            self._send(child.edge.address, datagram)

    def _drop_silent_children(self, now: float) -> None:
        for address, child in tuple(self._children.items()):
            if now >= child.until:
                self._children.pop(address)
                self._forget(address)

    def _refresh_parent(self, now: float) -> None:
        for address in self._parent.take_probes(now):
            self._send(address, encode_beat(Probe()))
        left = self._parent.refresh(now)
        if left:
            self._forget(left)
        if self._up.address != self._parent.address:
            self._up = Edge(self._parent.address, UP_TABLES_SHARE)

    def _forget(self, address: str) -> None:
        self._loads.forget(address)
        self._demand.forget(address)

    def _hear_child(self, report: Report, sender: str, now: float) -> None:
        is_new = sender not in self._children
        edge = Edge(sender, DOWN_TABLES_SHARE)
        child = self._children.setdefault(sender, _Child(edge))
        stale_s = max(_STALE_S, _STALE_PERIODS * report.period_s)
        child.until = now + stale_s
        if is_new:
            child.mark = report.mark
        child.depth = report.depth
        child.unreachable = report.unreachable
        self._loads.hear(sender, report.loads, child.until)
        wants = self._demand.hear(sender, report.demand, child.until)
        self._directory.reach.hear(report.unreachable)
        self._directory.departures.learn(report.departures)
        self._hear_store(report.store)
        if wants:
            self._on_wants()
        if is_new:
            summary = self._make_summary(child, now)
            self._send_regular(child.edge, summary, now)

    def _hear_parent(self, summary: Summary, now: float) -> None:
        self._hear_store(summary.store)
        self._directory.departures.learn(summary.departures)
        if summary.order_ages is not None:
            self._order_times.hear(summary.order_ages)
        if summary.loads is not None:
            stale_s = max(_STALE_S, _STALE_PERIODS * summary.period_s)
            self._loads.hear(self._up.address, summary.loads, now + stale_s)
        placement = self._directory.placement
        if placement.take(summary.news):
            self._directory.signal()
            self.tell_news()
        if placement.lacks(summary.news):
            self._send_at_once(self._up, RowsLacking(placement.mark), now)

    def _hear_store(self, seen: StoreSeen) -> None:
        self._directory.freshness.note_others(seen.revision)
        self._directory.hear_planner(seen.planner)

    def _store_seen(self) -> StoreSeen:
        return StoreSeen(
            self._directory.freshness.revision, self._directory.newest_planner
        )

    def _make_report(self, now: float) -> Report:
        parent = self._parent.address
        below = [
            child
            for address, child in self._children.items()
            if address != parent
        ]
        unreachable = set(self._directory.reach.list_passed_over())
        unreachable.update(*(child.unreachable for child in below))
        return Report(
            self._up.period_s,
            1 + max((child.depth for child in below), default=-1),
            self._directory.placement.mark,
            self._store_seen(),
            self._loads.tell(parent, now),
            self._demand.tell(now, parent),
            sorted(unreachable),
            self._directory.departures.tell(),
        )

    def _make_summary(self, child: _Child, now: float) -> Summary:
        return Summary(
            child.edge.period_s,
            self._directory.placement.news_after(child.mark, 0),
            self._store_seen(),
            self._loads.tell(child.edge.address, now),
            self._order_times.ages() if self._is_planner() else None,
            self._directory.departures.tell(),
        )

    def _send_regular(self, edge: Edge, beat: Beat, now: float) -> None:
        datagram = encode_beat(beat)
        edge.note_sent(len(datagram), now)
        self._send(edge.address, datagram)

    def _send_news(self, child: _Child, now: float) -> None:
        """Send the rows that there is room for; none now and then."""
        most_rows = child.edge.count_rows(now)
        news = self._directory.placement.news_after(child.mark, most_rows)
        if not news.rows and not child.edge.is_silent(now):
            return
        child.mark = news.mark
        child.edge.spoke_at = now
        summary = Summary(child.edge.period_s, news, self._store_seen())
        self._send_at_once(child.edge, summary, now)

    def _send_at_once(self, edge: Edge, beat: Beat, now: float) -> None:
        datagram = encode_beat(beat)
        edge.budget.spend(len(datagram), now)
        self._send(edge.address, datagram)
