"""Gateways' exchanges in virtual time, joined by links that lose datagrams."""

import asyncio
import random
from collections import Counter

import attrs

from bramleybeam.catalog import Holdings
from bramleybeam.gateway._cluster_state import ClusterState, make_cluster_state
from bramleybeam.gateway._exchange import PeerExchange
from bramleybeam.gateway._loads import InFlightRequest
from bramleybeam.gateway._order_history import OrderHistory
from bramleybeam.gateway._parent import ParentSelector
from bramleybeam.gateway._peer_codec import decode_peer_message
from bramleybeam.gateway._placement import ReplicaPlacement
from bramleybeam.gateway._tree import ObservedPlanner, Peer

_TICK_S = 0.1
_DELAY_S = 0.002
PLANNER = 'host-0'


@attrs.define
class Node:
    """One gateway's exchange and what it knows."""

    peer: Peer
    cluster_state: ClusterState
    exchange: PeerExchange
    order_history: OrderHistory
    sent: int = 0
    received: int = 0
    is_down: bool = False
    wants_heard: int = 0
    works: list = attrs.field(factory=list)


class Network:
    """``loss`` is the share of datagrams that are lost."""

    def __init__(self, gateways, zones=4, loss=0.0, seed=1):
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(seed)
        self._loss = loss
        self.across = Counter()
        self._turns = Counter()
        self._placed = ()
        self._numbered = []
        self.nodes = {}
        for number in range(gateways):
            peer = Peer(
                f'10.0.0.{number}:7',
                f'host-{number}',
                f'zone-{number % zones}',
                625_000.0,
            )
            self.nodes[peer.address] = self._make_node(peer)
        for node in self.nodes.values():
            for address, other in self.nodes.items():
                node.cluster_state.directory.peers[address] = other.peer
        self.name_planner(1, PLANNER)

    @property
    def planner(self):
        return self.nodes['10.0.0.0:7']

    def name_planner(self, revision, host):
        """Let all gateways see the planner in the store, but the last one."""
        for node in self.nodes.values():
            if node is not self.planner or revision == 1:
                node.cluster_state.directory.note_peer_planner(
                    ObservedPlanner(revision, host)
                )

    def _make_node(self, peer):
        cluster_state = make_cluster_state(self._loop.time)
        times = OrderHistory(3, self._loop.time)

        def send(address, datagram):
            self._send(node, address, datagram)

        def note_pending():
            node.wants_heard += 1
            if node.peer.host != PLANNER:
                exchange.send_pending()

        exchange = PeerExchange(
            cluster_state,
            times,
            ParentSelector(peer, cluster_state.directory),
            send,
            note_pending,
            lambda: peer.host == PLANNER,
        )
        node = Node(peer, cluster_state, exchange, times)
        return node

    def _send(self, sender, address, datagram):
        sender.sent += len(datagram)
        receiver = self.nodes[address]
        if sender.peer.zone != receiver.peer.zone:
            self.across['bytes'] += len(datagram)
        if self._rng.random() >= self._loss and not sender.is_down:
            self._loop.call_later(
                _DELAY_S, self._deliver, receiver, sender, datagram
            )

    def _deliver(self, receiver, sender, datagram):
        if not receiver.is_down:
            receiver.received += len(datagram)
            receiver.exchange.receive(
                decode_peer_message(datagram), sender.peer.address
            )

    async def run(self, seconds):
        """Let time pass; the planner renews its placement meanwhile."""
        end = self._loop.time() + seconds
        while self._loop.time() < end:
            for node in self.nodes.values():
                if not node.is_down:
                    self._loop.call_later(
                        self._rng.random() * _TICK_S, node.exchange.tick
                    )
            self._publish()
            await asyncio.sleep(_TICK_S)

    def place(self, epoch, replicas, models):
        """Let the planner tell that each replica holds three models."""
        placement = {
            f'replica-{number:04d}': ReplicaPlacement(
                Holdings(
                    0,
                    {
                        self._name_model(number, each, models): frozenset(
                            ('a1', 'a2')
                        )
                        for each in range(3)
                    },
                )
            )
            for number in range(replicas)
        }
        self._placed = epoch, placement
        self._publish()

    def _publish(self):
        """Renew the planner's word; it changes now and then."""
        table = self.planner.cluster_state.directory.placement
        if self._placed and table.publish(*self._placed):
            self._numbered.append((table.version.number, self._loop.time()))
            self.planner.exchange.send_changed_rows()

    async def work_as_planner(self, seconds, replicas, models, orders_per_s):
        """Let the planner give orders, each of which changes a row.

        Yields now and then, so that a test may look at the gateways.
        """
        given = 0
        for step in range(int(seconds / _TICK_S)):
            while given < step * _TICK_S * orders_per_s:
                name = f'replica-{given % replicas:04d}'
                ages = self.planner.order_history.note_local([name])
                if ages:
                    self.planner.exchange.announce_orders(ages)
                self._turns[name] += 1
                self.place(1, replicas, models)
                given += 1
            await self.run(_TICK_S)
            yield

    def longest_lag(self):
        """Return for how long the rows of any gateway have been old."""
        now = self._loop.time()
        lags = [0.0]
        for node in self.nodes.values():
            version = node.cluster_state.directory.placement.version
            newer = [
                moment
                for number, moment in self._numbered
                if number > version.number
            ]
            lags.extend(now - moment for moment in newer[:1])
        return max(lags)

    def oldest_word(self):
        """Return the age in seconds of the oldest planner's word, and whose."""
        return max(
            (node.cluster_state.directory.placement.age_s, node.peer.host)
            for node in self.nodes.values()
            if not node.is_down
        )

    def _name_model(self, replica, place, models):
        turn = self._turns[f'replica-{replica:04d}']
        return f'model{(replica * 3 + place + turn) % models:04d}'

    def load(self, replicas, models, requests):
        """Let each gateway run requests, and be asked for models."""
        for node in self.nodes.values():
            now = self._loop.time()
            for _ in range(requests):
                target = (f'model{self._rng.randrange(models):04d}', '')
                replica = f'replica-{self._rng.randrange(replicas):04d}'
                work = node.cluster_state.loads.track(
                    replica, InFlightRequest(target, 100)
                )
                work.__enter__()
                node.works.append(work)
                node.cluster_state.demand.note_request(
                    target, 1400, now, is_latency_tolerant=False
                )
