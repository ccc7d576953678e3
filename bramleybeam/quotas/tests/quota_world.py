"""Gateways, a store and a network with faults, in virtual time.

The gateways run the code of this package; the store and its leases, the
network, and what replicas run are modelled here. The same seed gives the same
run.
"""

import itertools
import math

import attrs

from bramleybeam.catalog import Quota, QuotaBounds, QuotaUnit
from bramleybeam.quotas import (
    CoordinatorView,
    QuotaClient,
    QuotaCoordinator,
    QuotaGrant,
    QuotaLimits,
    StoreContact,
)
from bramleybeam.quotas._limits import SETTLE_S

BOUNDS = QuotaBounds(window_s=8, excess_share=0.1, allowance=0)
LEASE_TTL_S = 1.2
RENEW_S = 0.25
ENTRY_TTL_S = 10.0
ENTRY_RENEW_S = 3.0
ENTRY_VALID_S = 9.0
PEER_GRACE_S = 15.0
STEP_S = 0.05


@attrs.define
class Entry:
    """A key of the store under a lease."""

    revision: int
    owner: int
    expires_at: float


@attrs.define
class Store:
    """Keys with leases, and the log of their changes by revision."""

    revision: int = 0
    planner: Entry | None = None
    peers: dict = attrs.field(factory=dict)
    log: list = attrs.field(factory=list)

    def expire(self, now):
        """Remove keys whose leases have ended."""
        if self.planner is not None and now >= self.planner.expires_at:
            self.planner = None
            self._add(('planner', None))
        for name, entry in tuple(self.peers.items()):
            if now >= entry.expires_at:
                self.peers.pop(name)
                self._add(('gone', name))

    def take_planner(self, name, now):
        """Take the planner's lease if it is free; return the epoch."""
        if self.planner is not None:
            return 0
        self.revision += 1
        self.planner = Entry(self.revision, name, now + LEASE_TTL_S)
        self.log.append((self.revision, ('planner', self.revision)))
        return self.revision

    def write_peer(self, name, now):
        """Write a gateway's entry; return its revision."""
        entry = self.peers.get(name)
        if entry is None:
            self.revision += 1
            entry = Entry(self.revision, name, 0)
            self.peers[name] = entry
            self.log.append((self.revision, ('peer', name)))
        entry.expires_at = now + ENTRY_TTL_S
        return entry.revision

    def _add(self, change):
        self.revision += 1
        self.log.append((self.revision, change))


@attrs.define(eq=False)
class Job:
    """A request at a gateway."""

    cost: int
    charge: object = None
    waiter: object = None


class Gateway:
    """One process: its view of the store, its client and coordinator."""

    def __init__(self, world, name):
        """Start without any knowledge."""
        self.world = world
        self.name = name
        self.client = QuotaClient(
            lambda: world.now, world.draw_incarnation(), BOUNDS
        )
        self.coordinator = None
        self.contact = StoreContact()
        self.newest_epoch = 0
        self.holders = {}
        self.stored_epoch = 0
        self.revision = 0
        self.log_position = 0
        self.synced_at = None
        self.listed = {}
        self.gone_at = {}
        self.entry_renewed_at = -math.inf
        self.entry_revision = 0
        self.epoch = 0
        self.renewed_at = -math.inf
        self.version = 0
        self.jobs = []
        self.is_frozen = False
        self.has_store = True
        self.follows = True

    def read_store(self):
        """Read all changes of the store, or the listing at first."""
        world = self.world
        if self.synced_at is None:
            self.listed = dict.fromkeys(world.store.peers)
            if world.store.planner is not None:
                self._learn_planner(world.store.planner.revision)
        else:
            for _, change in world.store.log[self.log_position :]:
                self._apply(change)
        self.log_position = len(world.store.log)
        self.revision = world.store.revision
        self.synced_at = world.now
        if self.version < world.version:
            self.version = world.version
            self.apply_quota()

    def apply_quota(self):
        quotas = {'w': self.world.quota} if self.world.quota else {}
        self.client.set_quotas(quotas, self.version)
        if self.coordinator is not None:
            self.coordinator.set_quotas(quotas, self.version, self.world.now)

    def note_epoch(self, epoch, holder):
        self.holders[epoch] = holder
        self.newest_epoch = max(self.newest_epoch, epoch)

    def tick(self):
        """Do the periodic work."""
        now = self.world.now
        if self.has_store and self.follows:
            self.read_store()
        age_s = None if self.synced_at is None else now - self.synced_at
        self.contact.note_age(now, age_s)
        if self.synced_at is None:
            return
        if self.has_store and now - self.entry_renewed_at >= ENTRY_RENEW_S:
            self.entry_renewed_at = now
            self.entry_revision = self.world.store.write_peer(self.name, now)
        if now - self.entry_renewed_at < ENTRY_VALID_S:
            self.contact.note_listed(now, self.entry_revision)
        for name, at in tuple(self.gone_at.items()):
            if now - at > PEER_GRACE_S:
                self.gone_at.pop(name)
                self.listed.pop(name, None)
        self._keep_lease()
        if self.coordinator is not None:
            self.coordinator.start_if_due(self.view(), now)
        self.pump()

    def find_held(self):
        """Return what may still run here, also if the process is frozen."""
        account = self.client.accounts.get('w')
        if account is None:
            return 0
        now = self.world.now
        if now >= account._expires_at:
            return 0
        spent = [run for run in account._sent if now - run.sent_at >= SETTLE_S]
        return account.held - sum(run.cost for run in spent)

    def view(self):
        return CoordinatorView(
            self.newest_epoch,
            self.renewed_at,
            self.revision,
            {str(name) for name in self.listed},
        )

    def pump(self):
        """Send what is due to the coordinator."""
        self.client.note_epoch(self.newest_epoch)
        if not self.contact.may_ask(
            self.world.now,
            self.newest_epoch,
            self.stored_epoch,
            self.revision,
        ):
            return
        request = self.client.next_request()
        if request is not None:
            holder = self.holders[request.epoch]
            self.world.send(self.name, holder, request)

    def receive(self, message, sender):
        if isinstance(message, QuotaGrant):
            if sender in self.listed and message.epoch > self.newest_epoch:
                self.note_epoch(message.epoch, sender)
            self.client.accept(message)
            return
        if self.coordinator is None or sender not in self.listed:
            return
        grant = self.coordinator.answer(
            message, str(sender), self.view(), self.world.now
        )
        if grant is not None:
            self.world.send(self.name, sender, grant)

    def _apply(self, change):
        kind, detail = change
        if kind == 'peer':
            self.listed[detail] = None
            self.gone_at.pop(detail, None)
        elif kind == 'gone':
            self.gone_at[detail] = self.world.now
        else:
            self._learn_planner(detail or 0)

    def _learn_planner(self, epoch):
        self.stored_epoch = epoch
        if epoch:
            self.note_epoch(epoch, self.world.holders[epoch])

    def _keep_lease(self):
        now = self.world.now
        store = self.world.store
        if self.epoch and self.newest_epoch > self.epoch:
            self.epoch = 0
            self.coordinator = None
        if not self.has_store:
            return
        if not self.epoch and not self.stored_epoch and store.planner is None:
            self._elect(now)
        elif self.epoch and now - self.renewed_at >= RENEW_S:
            self._renew(now)

    def _elect(self, now):
        if self.world.rng.random() > 0.3:
            return
        self.epoch = self.world.store.take_planner(self.name, now)
        self.world.holders[self.epoch] = self.name
        self.note_epoch(self.epoch, self.name)
        self.renewed_at = now
        self.coordinator = QuotaCoordinator(
            self.epoch,
            now,
            BOUNDS,
            knows_gateways=self.contact.knows_gateways(now),
        )
        self.apply_quota()
        for name in self.listed:
            if name != self.name:
                self.world.send(self.name, name, self.coordinator.announce())

    def _renew(self, now):
        planner = self.world.store.planner
        if planner is not None and planner.revision == self.epoch:
            planner.expires_at = now + LEASE_TTL_S
            self.renewed_at = now
        else:
            self.epoch = 0
            self.coordinator = None


@attrs.define(eq=False)
class Datagram:
    """A message on its way; ``due_at`` is when it arrives."""

    sender: int
    receiver: int
    message: object
    due_at: float


class World:
    """Everything; actions and time are driven by a test."""

    def __init__(self, rng, gateways=4, rate=100.0, burst=50.0):
        """Start all gateways at the same time."""
        self.rng = rng
        self.now = 1000.0
        self.store = Store()
        self.holders = {}
        self.quota = Quota(rate, burst, QuotaUnit.TOKENS, 20)
        self.version = 1
        self.bounds_since = [(-math.inf, self.quota)]
        self.net = []
        self.loss = 0.0
        self.delay_s = 0.005
        self.cut = set()
        self.runs = []
        self.refusals = []
        self.send_share = 0.7
        self.worst_potential = -math.inf
        self.coordinators = 0
        self._incarnations = itertools.count(1)
        self.gateways = [Gateway(self, name) for name in range(gateways)]

    def draw_incarnation(self):
        return next(self._incarnations)

    def send(self, sender, receiver, message):
        """Send a datagram that may be lost, late or duplicated."""
        if sender == receiver:
            self.gateways[receiver].receive(message, sender)
            return
        copies = 1
        if self.rng.random() < self.loss:
            copies = self.rng.choice((0, 0, 2))
        for _ in range(copies):
            delay_s = self.delay_s
            if self.rng.random() < self.loss:
                delay_s = self.rng.choice((0.05, 0.2, 1, 3.5, 8))
            if frozenset((sender, receiver)) not in self.cut:
                self.net.append(
                    Datagram(sender, receiver, message, self.now + delay_s)
                )

    def advance(self, duration_s):
        """Let time pass, in steps in which gateways work."""
        ends_at = self.now + duration_s
        while self.now < ends_at - 1e-9:
            self.now = min(ends_at, self.now + STEP_S)
            self.store.expire(self.now)
            self.deliver()
            for gateway in self.gateways:
                if not gateway.is_frozen:
                    gateway.tick()
                    self.work(gateway)
            self.answer_refused()
            self.deliver()
            self.note_versions()
            self.worst_potential = max(
                self.worst_potential, self.find_potential()
            )

    def find_potential(self):
        """Return by how much what may run without the time exceeds its limit.

        This is what all gateways hold, with the level of the newest bucket that
        is granting.
        """
        since, quota = self.bounds_since[-1]
        if since == math.inf:
            return -math.inf
        limits = QuotaLimits.of(quota, BOUNDS)
        held = sum(gateway.find_held() for gateway in self.gateways)
        granting = [
            gateway.coordinator
            for gateway in self.gateways
            if gateway.coordinator is not None
            and gateway.coordinator.is_granting
        ]
        if granting:
            newest = max(granting, key=lambda entry: entry.epoch)
            bucket = newest._buckets.get('w')
            if bucket is not None:
                return held + bucket.level - limits.total
        return held - limits.total - limits.debt

    def deliver(self):
        """Deliver what is due to the gateways that are not frozen."""
        self.rng.shuffle(self.net)
        for datagram in sorted(self.net, key=lambda entry: entry.due_at):
            gateway = self.gateways[datagram.receiver]
            if datagram.due_at <= self.now + 0.01 and not gateway.is_frozen:
                self.net.remove(datagram)
                gateway.receive(datagram.message, datagram.sender)

    def request(self, name, cost):
        """Let a request arrive at a gateway."""
        gateway = self.gateways[name]
        if gateway.is_frozen or gateway.client.find_limits('w') is None:
            return None
        job = Job(cost)
        gateway.jobs.append(job)
        job.charge = gateway.client.reserve('w', cost)
        if job.charge is None:
            job.waiter = gateway.client.wait('w', cost, lambda: None)
        gateway.pump()
        return job

    def work(self, gateway):
        """Send some of the requests that have a reservation."""
        for job in tuple(gateway.jobs):
            if job.waiter is not None and job.waiter.reservation is not None:
                job.charge = gateway.client.end_wait('w', job.waiter)
                job.waiter = None
            if job.charge is not None and self.rng.random() < self.send_share:
                self.try_send(gateway, job)

    def try_send(self, gateway, job):
        """Send one request if its reservation holds."""
        if not job.charge.is_valid:
            gateway.jobs.remove(job)
            return
        job.charge.note_sent()
        if self.rng.random() < 0.2:
            # The replica will prove that it did not run the request.
            delay_s = self.rng.choice((0, 0, 0.05, 0.2, 1))
            self.refusals.append((self.now + delay_s, gateway, job))
        else:
            self.runs.append((self.now, job.cost))
        gateway.jobs.remove(job)

    def answer_refused(self):
        """Let replicas prove that they did not run some requests.

        These are sent again, or given up.
        """
        for refusal in tuple(self.refusals):
            due_at, gateway, job = refusal
            if self.now < due_at or gateway.is_frozen:
                continue
            self.refusals.remove(refusal)
            job.charge.note_not_run()
            if self.rng.random() < 0.5:
                gateway.jobs.append(job)
            else:
                job.charge.release()

    def kill(self, name):
        """Replace a gateway by a new process at the same address."""
        self.gateways[name] = Gateway(self, name)

    def drop_waiting(self, name):
        """End the waits of a gateway's requests."""
        gateway = self.gateways[name]
        for job in tuple(gateway.jobs):
            if job.waiter is not None:
                job.charge = gateway.client.end_wait('w', job.waiter)
                job.waiter = None
                if job.charge is None:
                    gateway.jobs.remove(job)

    def configure(self, quota):
        """Change the quota; gateways read it with their next changes."""
        self.quota = quota
        self.version += 1
        self.bounds_since.append((math.inf, quota))

    def note_versions(self):
        """Record since when all gateways have the last configuration."""
        since, quota = self.bounds_since[-1]
        if since == math.inf and all(
            gateway.version == self.version for gateway in self.gateways
        ):
            self.bounds_since[-1] = (self.now, quota)


def find_excess(runs, quota, since, until):
    """Return by how much a window between two times exceeds the bound."""
    limits = QuotaLimits.of(quota, BOUNDS)
    bound = quota.rate_per_s * BOUNDS.window_s + limits.total + limits.debt
    window = []
    worst = -math.inf
    for at, cost in sorted(runs):
        if not since <= at < until:
            continue
        window.append((at, cost))
        while window[0][0] < at - BOUNDS.window_s:
            window.pop(0)
        worst = max(worst, sum(row[1] for row in window) - bound)
    return worst
