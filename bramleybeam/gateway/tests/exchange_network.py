"""A network of gateway exchanges in virtual time, over links with loss."""

import asyncio
import random
from collections import Counter

import attrs
import xxhash

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
_LINK_DELAY_S = 0.002
PLANNER = 'host-0'


def name_replica(number):
    """Return a name that compresses as badly as those of real replicas."""
    return f'i-{xxhash.xxh64_hexdigest(str(number).encode())[:10]}'


def name_model(number):
    """Return a name that compresses as badly as those of real models."""
    return f'm{xxhash.xxh64_hexdigest(str(number).encode())[:8]}'


@attrs.define
class Node:
    """One gateway's exchange and state.

    ``sent`` and ``received`` count bytes; ``is_down`` stops all its datagrams.
    """

    peer: Peer
    cluster_state: ClusterState
    exchange: PeerExchange
    order_history: OrderHistory
    sent: int = 0
    received: int = 0
    is_down: bool = False
    pending_notifications: int = 0
    tracked_requests: list = attrs.field(factory=list)


class Network:
    """Gateways in several zones, the first of which is the planner.

    ``loss`` is the share of datagrams that are lost.
    """

    def __init__(self, gateways, zones=4, loss=0.0, seed=1):
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(seed)
        self._loss = loss
        self.cross_zone = Counter()
        self._order_counts = Counter()
        self._current_placement = ()
        self._published_versions = []
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
        self.set_planner_key(1, PLANNER)

    @property
    def planner(self):
        return self.nodes['10.0.0.0:7']

    def set_planner_key(self, revision, host):
        """Set the planner's key that gateways have read from the store.

        From revision 2 on the first planner, ``self.planner``, doesn't read it.
        """
        for node in self.nodes.values():
            if node is not self.planner or revision == 1:
                node.cluster_state.directory.note_peer_planner(
                    ObservedPlanner(revision, host)
                )

    def _make_node(self, peer):
        cluster_state = make_cluster_state(self._loop.time)
        history = OrderHistory(3, self._loop.time)

        def send(address, datagram):
            self._send(node, address, datagram)

        def note_pending():
            node.pending_notifications += 1
            if node.peer.host != PLANNER:
                exchange.send_pending()

        exchange = PeerExchange(
            cluster_state,
            history,
            ParentSelector(peer, cluster_state.directory),
            send,
            note_pending,
            lambda: peer.host == PLANNER,
        )
        node = Node(peer, cluster_state, exchange, history)
        return node

    def _send(self, sender, address, datagram):
        sender.sent += len(datagram)
        receiver = self.nodes[address]
        if sender.peer.zone != receiver.peer.zone:
            self.cross_zone['bytes'] += len(datagram)
        if self._rng.random() >= self._loss and not sender.is_down:
            self._loop.call_later(
                _LINK_DELAY_S, self._deliver, receiver, sender, datagram
            )

    def _deliver(self, receiver, sender, datagram):
        if not receiver.is_down:
            receiver.received += len(datagram)
            receiver.exchange.receive(
                decode_peer_message(datagram), sender.peer.address
            )

    async def run(self, seconds):
        """Let a time pass in which the planner republishes its placement."""
        end_at = self._loop.time() + seconds
        while self._loop.time() < end_at:
            for node in self.nodes.values():
                if not node.is_down:
                    self._loop.call_later(
                        self._rng.random() * _TICK_S, node.exchange.tick
                    )
            self._publish()
            await asyncio.sleep(_TICK_S)

    def set_placement(self, epoch, replicas, models):
        """Let the planner publish a placement of three models a replica."""
        placement = {
            name_replica(number): ReplicaPlacement(
                Holdings(
                    0,
                    {
                        self._name_model(number, index, models): frozenset(
                            ('a1', 'a2')
                        )
                        for index in range(3)
                    },
                )
            )
            for number in range(replicas)
        }
        self._current_placement = epoch, placement
        self._publish()

    def _publish(self):
        """Republish the planner's placement, and send it if it has changed."""
        table = self.planner.cluster_state.directory.placement
        if self._current_placement and table.publish(*self._current_placement):
            self._published_versions.append(
                (table.version.number, self._loop.time())
            )
            self.planner.exchange.send_changed_rows()

    async def send_orders(self, seconds, replicas, models, orders_per_s):
        """Let the planner send orders, each of which changes a row.

        Yields after each tick, so that a test can inspect the gateways.
        """
        order_number = 0
        for step in range(int(seconds / _TICK_S)):
            while order_number < step * _TICK_S * orders_per_s:
                name = name_replica(order_number % replicas)
                ages = self.planner.order_history.note_local([name])
                if ages:
                    self.planner.exchange.announce_orders(ages)
                self._order_counts[name] += 1
                self.set_placement(1, replicas, models)
                order_number += 1
            await self.run(_TICK_S)
            yield

    def longest_lag(self):
        """Return the longest time in seconds that any gateway lags behind."""
        now = self._loop.time()
        lags = [0.0]
        for node in self.nodes.values():
            version = node.cluster_state.directory.placement.version
            later_publications = [
                published_at
                for number, published_at in self._published_versions
                if number > version.number
            ]
            lags.extend(
                now - published_at for published_at in later_publications[:1]
            )
        return max(lags)

    def oldest_placement_age(self):
        """Return the age in seconds of the oldest placement, and its host."""
        return max(
            (node.cluster_state.directory.placement.age_s, node.peer.host)
            for node in self.nodes.values()
            if not node.is_down
        )

    def _name_model(self, replica, slot, models):
        order_count = self._order_counts[name_replica(replica)]
        return name_model((replica * 3 + slot + order_count) % models)

    def load(self, replicas, models, requests):
        """Let each gateway start requests for random models and replicas."""
        for node in self.nodes.values():
            now = self._loop.time()
            for _ in range(requests):
                target = (name_model(self._rng.randrange(models)), '')
                replica = name_replica(self._rng.randrange(replicas))
                request = node.cluster_state.loads.track(
                    replica, InFlightRequest(target, 100)
                )
                request.__enter__()
                node.tracked_requests.append(request)
                node.cluster_state.demand.note_request(
                    target, 1400, now, is_latency_tolerant=False
                )
