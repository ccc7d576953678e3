"""A gateway's view of the configuration, replicas and other gateways.

Changes of the store are applied immediately, with these exceptions. Replicas
whose entries vanish around an outage of the store are kept for a short time
after its return, because a running replica writes its entry again. Gateways are
kept for a while after their entry was removed. A configuration is only replaced
by a newer one.
"""

import math
from collections.abc import Callable, Mapping
from typing import Final, Protocol

import structlog

from bramleybeam import platform
from bramleybeam.catalog import (
    Replica,
    ReplicaState,
    RoutingConfiguration,
)
from bramleybeam.gateway._departures import Departure, DepartureTable
from bramleybeam.gateway._follower_pace import DEFAULT_PACE, FollowerPace
from bramleybeam.gateway._freshness import StoreFreshness
from bramleybeam.gateway._placement import PlacementTable, ReplicaPlacement
from bramleybeam.gateway._reachability import ReachabilityTable
from bramleybeam.gateway._stored_suspects import (
    SUSPECT_PREFIX,
    StoredSuspects,
)
from bramleybeam.gateway._stream_origins import ORIGIN_PREFIX, StreamOrigins
from bramleybeam.gateway._tree import ObservedPlanner, Peer, decode_peer
from bramleybeam.keyvalue import Changes, Item, Listing, Removal
from bramleybeam.workspaces import KeyAge

GATEWAY_PREFIX: Final = 'bramleybeam/'
PEER_PREFIX: Final = 'bramleybeam/peers/'
PLANNER_NAME: Final = 'planner'
# Time after the return of the store in which a replica whose lease lapsed may
# write its entry again.
LAPSE_GRACE_S: Final = 2.0
# Time for which a gateway is kept after its entry was removed, because it may
# only have lost its connection to the store.
_PEER_GRACE_S: Final = 15.0
_log = structlog.get_logger('directory')


class _StoreRecords(Protocol):
    """What gateways write to the store under one prefix."""

    def update(self, store_key: str, content: bytes) -> None:
        """Read an entry of the store."""

    def remove(self, store_key: str) -> None:
        """Record that an entry was removed from the store."""


class Directory:
    """The view of one gateway; ``clock`` returns monotonic seconds.

    ``pace`` is how often it reads the changes in the store. ``keys`` is the age
    of callers' keys, which is not limited by default. ``boot_clock`` includes
    suspension of the host; by default it is ``clock``.
    ``planner`` is the planner's key as last read from the store, and
    ``newest_planner`` the newest one that this or another gateway has read.
    ``has_listing`` is set once the store was read completely. The callbacks in
    ``on_change`` are called after each change.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        pace: FollowerPace = DEFAULT_PACE,
        keys: KeyAge | None = None,
        boot_clock: Callable[[], float] | None = None,
    ) -> None:
        """Create a directory for which the store was never read."""
        self.configuration: RoutingConfiguration | None = None
        self.replicas: dict[str, Replica] = {}
        self.peers: dict[str, Peer] = {}
        self.planner = ObservedPlanner()
        self.newest_planner = ObservedPlanner()
        self.has_listing = False
        self.on_change: list[Callable[[], None]] = []
        self.reachability = ReachabilityTable(clock)
        self.placement = PlacementTable(clock)
        self.departures = DepartureTable(clock)
        self.freshness = StoreFreshness(boot_clock or clock, pace)
        self.stored_suspects = StoredSuspects()
        self.origins = StreamOrigins(clock)
        self._records: dict[str, _StoreRecords] = {
            SUSPECT_PREFIX: self.stored_suspects,
            ORIGIN_PREFIX: self.origins,
        }
        self.keys = keys or KeyAge(clock)
        self._clock = clock
        self._lapsed: dict[str, float] = {}
        self._lost_peers: dict[str, float] = {}
        self._store_lost_at: float | None = None
        self._store_regained_at = float('-inf')

    @property
    def is_ready(self) -> bool:
        """Whether requests can be routed."""
        return self.configuration is not None and self.has_listing

    @property
    def is_lagging(self) -> bool:
        """Whether changes that peers have read are overdue here."""
        return self.freshness.is_lagging

    def lists_peer(self, address: str) -> bool:
        """Whether a gateway of this address is listed in the store."""
        return any(peer.address == address for peer in self.peers.values())

    def note_planner(self, planner: ObservedPlanner) -> None:
        """Record the planner's key as read from the store."""
        self.planner = planner
        self.note_peer_planner(planner)

    def note_peer_planner(self, planner: ObservedPlanner) -> None:
        """Record the planner that another gateway has read from the store.

        ``planner`` is left as it is, because the store may have removed the
        reported one since.
        """
        self.newest_planner = max(self.newest_planner, planner)

    def now(self) -> float:
        """Return the time of the directory's clock, in seconds."""
        return self._clock()

    def replicas_of(self, service: str) -> list[Replica]:
        """Return the replicas of a service that accept new requests."""
        self.drop_expired()
        is_fresh = self.freshness.is_fresh
        return [
            replica
            for replica in self.replicas.values()
            if replica.service == service
            and self.departures.accepts_requests(replica, is_fresh=is_fresh)
        ]

    def placement_of(self, replica: Replica) -> ReplicaPlacement:
        """Return what a replica holds.

        The planner's row if there is a valid one, otherwise the replica's
        entry in the store.
        """
        planned = self.placement.find(replica.name, replica.started_ms)
        return planned or ReplicaPlacement(replica.holdings)

    def describe_state(self) -> dict[str, float | None]:
        """Return the log fields for the version and ages (s) of the data."""
        configuration = self.configuration
        version = configuration.version if configuration else None
        planner_age_s = round(self.placement.age_s, 3)
        return {
            'version': version,
            'store_age_s': self.freshness.age_s,
            'planner_age_s': planner_age_s
            if planner_age_s < math.inf
            else None,
            **self.keys.describe(),
        }

    def note_store(self, *, answers: bool) -> None:
        """Record whether the store answers; a return starts a grace period."""
        if not answers and self._store_lost_at is None:
            self._store_lost_at = self._clock()
            _log.warning('store_lost')
        if answers and self._store_lost_at is not None:
            lost_s = self._clock() - self._store_lost_at
            self._store_lost_at = None
            self._store_regained_at = self._clock()
            _log.info('store_regained', lost_s=round(lost_s, 3))

    def replace(self, listing: Listing) -> None:
        """Replace the view by a complete listing of the store."""
        present = {item.key for item in listing.items}
        current_keys = [
            *(platform.REPLICA_PREFIX + name for name in self.replicas),
            *(PEER_PREFIX + name for name in self.peers),
            *self.stored_suspects.store_keys,
            *self.origins.store_keys,
        ]
        for key in current_keys:
            if key not in present:
                self._remove(key)
        if GATEWAY_PREFIX + PLANNER_NAME not in present:
            self.note_planner(ObservedPlanner())
        for item in listing.items:
            self._apply_item(item)
        self.has_listing = True
        self.signal()

    def apply(self, changes: Changes) -> None:
        """Apply changes of the store, in their order."""
        for event in changes.events:
            match event:
                case Item():
                    self._apply_item(event)
                case Removal(key=key):
                    self._remove(key)
        if changes.events:
            self.signal()

    def signal(self) -> None:
        """Call the callbacks in ``on_change``."""
        for callback in self.on_change:
            callback()

    def drop_expired(self) -> None:
        """Drop what is kept only for a time after it was removed.

        These are replicas and gateways in their grace period, and departures of
        replicas that are no longer listed.
        """
        self.departures.drop_expired(self.replicas)
        now = self._clock()
        for name, until in tuple(self._lapsed.items()):
            if now >= until:
                self._lapsed.pop(name)
                self._drop_replica(name, after='lapse')
        for name, lost_at in tuple(self._lost_peers.items()):
            if now - lost_at > _PEER_GRACE_S:
                self._lost_peers.pop(name)
                self.peers.pop(name, None)

    def _apply_item(self, item: Item) -> None:
        key = item.key
        records = _find_records(self._records, key)
        if records is not None:
            records.update(key, item.content)
            return
        if key == platform.CONFIGURATION_KEY:
            self._update_configuration(item.content)
        elif key.startswith(platform.REPLICA_PREFIX):
            self._update_replica(key, item.content)
        elif key.startswith(PEER_PREFIX):
            self._update_peer(key.removeprefix(PEER_PREFIX), item)
        elif key == GATEWAY_PREFIX + PLANNER_NAME:
            host = item.content.decode('utf-8', 'replace')
            self.note_planner(ObservedPlanner(item.revision, host))

    def _update_configuration(self, content: bytes) -> None:
        received = platform.decode_configuration(content)
        self.keys.is_readable = received is not None
        if received is None:
            return
        current = self.configuration
        if current is not None and received.version <= current.version:
            return
        self.configuration = received
        self.freshness.note_version(received.version)
        self.keys.version = received.version
        self.keys.has_keys = received.requires_keys
        _log.info(
            'configuration_in_force',
            version=received.version,
            routes=len(received.routes),
        )

    def _update_peer(self, name: str, item: Item) -> None:
        """Add or update a gateway; keep only the newest entry of its host."""
        peer = decode_peer(item.content, item.revision)
        if peer is None:
            _log.warning('peer_unreadable', peer=name)
            return
        self._lost_peers.pop(name, None)
        self.peers[name] = peer
        same_host = {
            key: other
            for key, other in self.peers.items()
            if other.host == peer.host
        }
        newest_revision = max(other.revision for other in same_host.values())
        for key, other in same_host.items():
            if other.revision < newest_revision:
                self.peers.pop(key)

    def _update_replica(self, key: str, content: bytes) -> None:
        replica = platform.decode_replica(key, content)
        if replica is None:
            return
        previous = self.replicas.get(replica.name)
        if previous and previous.software_version != replica.software_version:
            self.origins.note_gone(previous)
        self._lapsed.pop(replica.name, None)
        self.replicas[replica.name] = replica
        if previous is None or previous.incarnation != replica.incarnation:
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
        records = _find_records(self._records, key)
        if records is not None:
            records.remove(key)
        elif key == GATEWAY_PREFIX + PLANNER_NAME:
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
        held_until = self._store_regained_at + LAPSE_GRACE_S
        if replica.state == ReplicaState.READY and self._clock() < held_until:
            self._lapsed[name] = held_until
            _log.info('replica_lapsed', replica=name)
            return
        self._drop_replica(name)

    def _drop_replica(self, name: str, **reason: str) -> None:
        replica = self.replicas.pop(name, None)
        self.placement.drop(name)
        if replica is not None:
            self.origins.note_gone(replica)
            departure = Departure(replica.started_ms, is_gone=True)
            self.departures.learn({name: departure})
        _log.info('replica_gone', replica=name, **reason)


def _find_records(
    tables: Mapping[str, _StoreRecords], key: str
) -> _StoreRecords | None:
    """Return the table of the prefix of a key, ``None`` for any other key."""
    return next(
        (
            records
            for prefix, records in tables.items()
            if key.startswith(prefix)
        ),
        None,
    )
