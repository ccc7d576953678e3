"""What a gateway believes of configuration, replicas and other gateways.

The store's word is taken at once. Entries that vanish around an outage of
the store are held for a moment after its return, since a live replica writes
its entry again. A configuration is only ever replaced by a newer one.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

import attrs
import structlog

from bramleybeam import platform
from bramleybeam.catalog import (
    Holdings,
    Replica,
    ReplicaState,
    RoutingConfiguration,
)
from bramleybeam.gateway._reach import ReachTable
from bramleybeam.keyvalue import Changes, Item, Listing, Removal

OWN_PREFIX: Final = 'bramleybeam/'
PEER_PREFIX: Final = 'bramleybeam/peers/'
PLANNER_NAME: Final = 'planner'
# How long after the store's return a lapsed entry may come back.
LAPSE_GRACE_S: Final = 2.0
# A gateway whose entry is gone may only have lost the store.
_PEER_GRACE_S: Final = 15.0
_log = structlog.get_logger('directory')


@attrs.frozen
class PlacedHoldings:
    """What the planner says a replica holds, and what is being dropped.

    ``started_ms`` tells which start of the replica is meant. ``coming`` is the
    model on its way and ``coming_in_s`` when it is expected, from when it was
    told.
    """

    holdings: Holdings
    leaving: str = ''
    started_ms: int = 0
    coming: str = ''
    coming_in_s: float = 0


class Directory:
    """Beliefs of one gateway; ``clock`` gives seconds that never go back."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without any knowledge."""
        self.configuration: RoutingConfiguration | None = None
        self.replicas: dict[str, Replica] = {}
        self.peers: dict[str, str] = {}
        self.planner_revision = 0
        self.is_listed = False
        self.on_change: list[Callable[[], None]] = []
        self.reach = ReachTable(clock)
        self._clock = clock
        self._lapsed: dict[str, float] = {}
        self._lost_peers: dict[str, float] = {}
        self._placement: Mapping[str, PlacedHoldings] = {}
        self._placement_epoch = 0
        self._placement_until = 0.0
        self._placement_heard_at = 0.0
        self._store_lost_at: float | None = None
        self._store_word_at: float | None = None
        self._store_back_at = float('-inf')

    @property
    def is_ready(self) -> bool:
        """Whether requests can be judged."""
        return self.configuration is not None and self.is_listed

    def now(self) -> float:
        """Return the time by the directory's clock."""
        return self._clock()

    def replicas_of(self, service: str) -> list[Replica]:
        """Return the replicas of a service that take new work."""
        self._drop_lapsed()
        return [
            replica
            for replica in self.replicas.values()
            if replica.service == service
            and replica.state == ReplicaState.READY
        ]

    def placed(self, replica: Replica) -> PlacedHoldings:
        """Return what a replica holds, by the planner if it was heard."""
        told = self._placement.get(replica.name)
        if told is None or self._clock() > self._placement_until:
            return PlacedHoldings(replica.holdings)
        if told.started_ms != replica.started_ms:
            return PlacedHoldings(replica.holdings)
        return told

    def hear_placement(
        self,
        epoch: int,
        placement: Mapping[str, PlacedHoldings],
        valid_s: float,
    ) -> None:
        """Take in the planner's word; that of an older planner is dropped."""
        if epoch < self._placement_epoch:
            return
        self._placement_epoch = epoch
        self._placement = placement
        self._placement_heard_at = self._clock()
        self._placement_until = self._placement_heard_at + valid_s
        self.signal()

    def arrival_in(self, model: str) -> float | None:
        """Return the seconds until a model is expected, if it is coming."""
        spent = self._clock() - self._placement_heard_at
        return min(
            (
                max(0, placed.coming_in_s - spent)
                for placed in self._placement.values()
                if placed.coming == model
            ),
            default=None,
        )

    @property
    def placement_epoch(self) -> int:
        """The highest epoch of a planner that was heard of."""
        return self._placement_epoch

    def hears_planner(self) -> bool:
        """Whether a planner has told of its placement a moment ago."""
        return self._clock() <= self._placement_until

    @property
    def store_age_s(self) -> float | None:
        """How old the store's last word is; ``None`` before the first."""
        if self._store_word_at is None:
            return None
        return round(self._clock() - self._store_word_at, 3)

    def describe_belief(self) -> dict[str, float | None]:
        """Return what a log line tells of the knowledge in use."""
        configuration = self.configuration
        version = configuration.version if configuration else None
        return {'version': version, 'store_age_s': self.store_age_s}

    def note_word(self, as_of: float) -> None:
        """Note that the store's state was known as of a moment, in seconds."""
        self._store_word_at = max(as_of, self._store_word_at or as_of)

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
            self.planner_revision = 0
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
            name = key.removeprefix(PEER_PREFIX)
            self._lost_peers.pop(name, None)
            self.peers[name] = item.content.decode('ascii', 'replace')
        elif key == OWN_PREFIX + PLANNER_NAME:
            self.planner_revision = item.revision

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

    def _take_replica(self, key: str, content: bytes) -> None:
        replica = platform.decode_replica(key, content)
        if replica is None:
            return
        known = self.replicas.get(replica.name)
        self._lapsed.pop(replica.name, None)
        self.replicas[replica.name] = replica
        if known is None or known.incarnation != replica.incarnation:
            self.reach.note_reachable(replica.name)
            _log.info(
                'replica_seen', replica=replica.name, service=replica.service
            )
        if replica.state == ReplicaState.DRAINING:
            _log.info('replica_draining', replica=replica.name)

    def _remove(self, key: str) -> None:
        if key == OWN_PREFIX + PLANNER_NAME:
            self.planner_revision = 0
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
        self.replicas.pop(name)
        _log.info('replica_gone', replica=name)

    def _drop_lapsed(self) -> None:
        now = self._clock()
        for name, until in tuple(self._lapsed.items()):
            if now >= until:
                self._lapsed.pop(name)
                self.replicas.pop(name, None)
                _log.info('replica_gone', replica=name, after='lapse')
        for name, lost_at in tuple(self._lost_peers.items()):
            if now - lost_at > _PEER_GRACE_S:
                self._lost_peers.pop(name)
                self.peers.pop(name, None)


class Signal:
    """Wakes everyone who waits, in order, once for each change."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._waiters: dict[asyncio.Future[None], None] = {}

    def fire(self) -> None:
        """Wake everyone who waits now."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, timeout: float) -> None:
        """Wait for the next change, at most ``timeout`` seconds."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = None
        try:
            await asyncio.wait({waiter}, timeout=timeout)
        finally:
            self._waiters.pop(waiter)
