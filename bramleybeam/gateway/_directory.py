"""What a gateway believes of configuration, replicas and other gateways.

The store's word is taken at once. Entries that vanish around an outage of
the store are held for a moment after its return, since a live replica writes
its entry again. A configuration is only ever replaced by a newer one.
"""

import math
from collections.abc import Callable
from typing import Final

import structlog

from bramleybeam import platform
from bramleybeam.catalog import (
    Replica,
    ReplicaState,
    RoutingConfiguration,
)
from bramleybeam.gateway._departures import Departure, DepartureTable
from bramleybeam.gateway._freshness import StoreFreshness
from bramleybeam.gateway._placement import PlacementTable, ReplicaPlacement
from bramleybeam.gateway._reachability import ReachabilityTable
from bramleybeam.gateway._tree import ObservedPlanner, Peer, decode_peer
from bramleybeam.keyvalue import Changes, Item, Listing, Removal

OWN_PREFIX: Final = 'bramleybeam/'
PEER_PREFIX: Final = 'bramleybeam/peers/'
PLANNER_NAME: Final = 'planner'
# How long after the store's return a lapsed entry may come back.
LAPSE_GRACE_S: Final = 2.0
# A gateway whose entry is gone may only have lost the store.
_PEER_GRACE_S: Final = 15.0
_log = structlog.get_logger('directory')


class Directory:
    """Beliefs of one gateway; ``clock`` gives seconds that never go back."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without any knowledge."""
        self.configuration: RoutingConfiguration | None = None
        self.replicas: dict[str, Replica] = {}
        self.peers: dict[str, Peer] = {}
        self.planner = ObservedPlanner()
        self.newest_planner = ObservedPlanner()
        self.is_listed = False
        self.on_change: list[Callable[[], None]] = []
        self.reachability = ReachabilityTable(clock)
        self.placement = PlacementTable(clock)
        self.departures = DepartureTable(clock)
        self.freshness = StoreFreshness(clock)
        self._clock = clock
        self._lapsed: dict[str, float] = {}
        self._lost_peers: dict[str, float] = {}
        self._store_lost_at: float | None = None
        self._store_back_at = float('-inf')

    @property
    def is_ready(self) -> bool:
        """Whether requests can be judged."""
        return self.configuration is not None and self.is_listed

    @property
    def is_lagging(self) -> bool:
        """Whether others know of changes that should have come long ago."""
        return self.freshness.is_lagging

    def lists_peer(self, address: str) -> bool:
        """Whether a gateway of this address is listed in the store."""
        return any(peer.address == address for peer in self.peers.values())

    def note_planner(self, planner: ObservedPlanner) -> None:
        """Take in the planner's key as the store shows it now."""
        self.planner = planner
        self.note_peer_planner(planner)

    def note_peer_planner(self, planner: ObservedPlanner) -> None:
        """Take in which planner another gateway has seen in the store.

        The store's own word is not changed: it may have removed that one.
        """
        self.newest_planner = max(self.newest_planner, planner)

    def now(self) -> float:
        """Return the time by the directory's clock."""
        return self._clock()

    def replicas_of(self, service: str) -> list[Replica]:
        """Return the replicas that take new work, as the store or others tell."""
        self._drop_lapsed()
        is_fresh = self.freshness.is_fresh
        return [
            replica
            for replica in self.replicas.values()
            if replica.service == service
            and self.departures.takes_work(replica, is_fresh=is_fresh)
        ]

    def placement_of(self, replica: Replica) -> ReplicaPlacement:
        """Return what a replica holds, by the planner if it was heard."""
        told = self.placement.find(replica.name, replica.started_ms)
        return told or ReplicaPlacement(replica.holdings)

    def describe_belief(self) -> dict[str, float | None]:
        """Return what a log line tells of the knowledge in use."""
        configuration = self.configuration
        version = configuration.version if configuration else None
        planner_age_s = round(self.placement.age_s, 3)
        return {
            'version': version,
            'store_age_s': self.freshness.age_s,
            'planner_age_s': planner_age_s
            if planner_age_s < math.inf
            else None,
        }

    def note_store(self, *, answers: bool) -> None:
        """Note whether the store answers; a return starts a grace period."""
        if not answers and self._store_lost_at is None:
            self._store_lost_at = self._clock()
            _log.warning('store_lost')
        if answers and self._store_lost_at is not None:
            lost_s = self._clock() - self._store_lost_at
            self._store_lost_at = None
            self._store_back_at = self._clock()
            _log.info('store_regained', lost_s=round(lost_s, 3))

    def replace(self, listing: Listing) -> None:
        """Take in everything that the store holds."""
        present = {item.key for item in listing.items}
        known = [
            *(platform.REPLICA_PREFIX + name for name in self.replicas),
            *(PEER_PREFIX + name for name in self.peers),
        ]
        for key in known:
            if key not in present:
                self._remove(key)
        if OWN_PREFIX + PLANNER_NAME not in present:
            self.note_planner(ObservedPlanner())
        for item in listing.items:
            self._put(item)
        self.is_listed = True
        self.signal()

    def apply(self, changes: Changes) -> None:
        """Take in changes, in their order."""
        for event in changes.events:
            match event:
                case Item():
                    self._put(event)
                case Removal(key=key):
                    self._remove(key)
        if changes.events:
            self.signal()

    def signal(self) -> None:
        """Tell whoever waits for a change."""
        for callback in self.on_change:
            callback()

    def _put(self, item: Item) -> None:
        key = item.key
        if key == platform.CONFIGURATION_KEY:
            self._take_configuration(item.content)
        elif key.startswith(platform.REPLICA_PREFIX):
            self._take_replica(key, item.content)
        elif key.startswith(PEER_PREFIX):
            self._take_peer(key.removeprefix(PEER_PREFIX), item)
        elif key == OWN_PREFIX + PLANNER_NAME:
            host = item.content.decode('utf-8', 'replace')
            self.note_planner(ObservedPlanner(item.revision, host))

    def _take_configuration(self, content: bytes) -> None:
        newer = platform.decode_configuration(content)
        if newer is None:
            return
        current = self.configuration
        if current is not None and newer.version <= current.version:
            return
        self.configuration = newer
        _log.info(
            'configuration_in_force',
            version=newer.version,
            routes=len(newer.routes),
        )

    def _take_peer(self, name: str, item: Item) -> None:
        """Take in a gateway; of one host only the newest entry counts."""
        peer = decode_peer(item.content, item.revision)
        if peer is None:
            _log.warning('peer_unreadable', peer=name)
            return
        self._lost_peers.pop(name, None)
        self.peers[name] = peer
        starts = {
            key: known
            for key, known in self.peers.items()
            if known.host == peer.host
        }
        newest = max(known.revision for known in starts.values())
        for key, known in starts.items():
            if known.revision < newest:
                self.peers.pop(key)

    def _take_replica(self, key: str, content: bytes) -> None:
        replica = platform.decode_replica(key, content)
        if replica is None:
            return
        known = self.replicas.get(replica.name)
        self._lapsed.pop(replica.name, None)
        self.replicas[replica.name] = replica
        if known is None or known.incarnation != replica.incarnation:
            self.reachability.note_reachable(replica.name)
            _log.info(
                'replica_seen', replica=replica.name, service=replica.service
            )
        if replica.state == ReplicaState.DRAINING:
            _log.info('replica_draining', replica=replica.name)
            departure = Departure(replica.started_ms)
            self.departures.learn({replica.name: departure})
        else:
            self.departures.forget(replica)

    def _remove(self, key: str) -> None:
        if key == OWN_PREFIX + PLANNER_NAME:
            self.note_planner(ObservedPlanner())
        elif key.startswith(PEER_PREFIX):
            name = key.removeprefix(PEER_PREFIX)
            self._lost_peers.setdefault(name, self._clock())
        elif key.startswith(platform.REPLICA_PREFIX):
            self._remove_replica(key.removeprefix(platform.REPLICA_PREFIX))

    def _remove_replica(self, name: str) -> None:
        replica = self.replicas.get(name)
        if replica is None:
            return
        held_until = self._store_back_at + LAPSE_GRACE_S
        if replica.state == ReplicaState.READY and self._clock() < held_until:
            self._lapsed[name] = held_until
            _log.info('replica_lapsed', replica=name)
            return
        self._drop_replica(name)

    def _drop_replica(self, name: str, **reason: str) -> None:
        replica = self.replicas.pop(name, None)
        self.placement.drop(name)
        if replica is not None:
            departure = Departure(replica.started_ms, is_gone=True)
            self.departures.learn({name: departure})
        _log.info('replica_gone', replica=name, **reason)

    def _drop_lapsed(self) -> None:
        now = self._clock()
        for name, until in tuple(self._lapsed.items()):
            if now >= until:
                self._lapsed.pop(name)
                self._drop_replica(name, after='lapse')
        for name, lost_at in tuple(self._lost_peers.items()):
            if now - lost_at > _PEER_GRACE_S:
                self._lost_peers.pop(name)
                self.peers.pop(name, None)
