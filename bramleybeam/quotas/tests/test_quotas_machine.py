"""A state machine over gateways, elections and a network with faults.

It guards against more running in a window than a quota allows. Gateways are
killed, frozen, cut off from the store or from each other, or all started at the
same time; datagrams are lost, late or duplicated; requests are held back and
then sent all at once; limits fall.
"""

import math
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bramleybeam.catalog import Quota, QuotaUnit
from bramleybeam.quotas.tests.quota_world import World, find_excess

HOSTS = 4
GATEWAYS = st.integers(0, HOSTS - 1)
OUTAGES_S = st.sampled_from((0.5, 1, 2, 3, 4, 5, 9))
ROUNDING = 1e-6


class Gateways(RuleBasedStateMachine):
    """Gateways that share a quota of 100 tokens a second."""

    @initialize(seed=st.integers(0, 2**32), runs_for_s=st.sampled_from((1, 20)))
    def start(self, seed, runs_for_s):
        self.world = World(random.Random(seed), gateways=HOSTS)
        self.world.advance(runs_for_s)
        self.repairs = []

    @rule(
        at=GATEWAYS,
        count=st.integers(1, 20),
        cost=st.sampled_from((1, 5, 20, 40, 60, 75, 100, 130)),
    )
    def request(self, at, count, cost):
        for _ in range(count):
            self.world.request(at, cost)

    @rule(duration_s=st.sampled_from((0.05, 0.1, 0.3, 0.5, 1, 3, 4)))
    def advance(self, duration_s):
        self.world.advance(duration_s)

    @rule(share=st.sampled_from((0, 0, 0.1, 0.7, 1)))
    def change_share_of_sends(self, share):
        self.world.send_share = share

    @rule(at=GATEWAYS)
    def end_waits(self, at):
        self.world.drop_waiting(at)

    @rule(at=GATEWAYS, outage_s=OUTAGES_S)
    def freeze(self, at, outage_s):
        self._set_for(
            outage_s, self.world.gateways[at], 'is_frozen', value=True
        )

    @rule(at=GATEWAYS, outage_s=OUTAGES_S)
    def cut_off_from_store(self, at, outage_s):
        gateway = self.world.gateways[at]
        self._set_for(outage_s, gateway, 'has_store', value=False)

    @rule(outage_s=OUTAGES_S)
    def lose_the_planner(self, outage_s):
        """The planner's gateway is frozen, and another one is elected."""
        planner = self.world.store.planner
        if planner is not None:
            gateway = self.world.gateways[planner.owner]
            self._set_for(outage_s, gateway, 'is_frozen', value=True)

    @rule(outage_s=OUTAGES_S)
    def depose_the_planner(self, outage_s):
        """The planner's gateway is cut off from the store and grants on."""
        planner = self.world.store.planner
        if planner is not None:
            gateway = self.world.gateways[planner.owner]
            self._set_for(outage_s, gateway, 'has_store', value=False)

    @rule(at=GATEWAYS, outage_s=OUTAGES_S)
    def lag_behind(self, at, outage_s):
        """A gateway renews its leases but reads no changes."""
        gateway = self.world.gateways[at]
        self._set_for(outage_s, gateway, 'follows', value=False)

    @rule(at=GATEWAYS, other=GATEWAYS, outage_s=OUTAGES_S)
    def cut_link(self, at, other, outage_s):
        links = {frozenset((at, other))}
        self._set_for(outage_s, self.world, 'cut', value=links)

    @rule(loss=st.sampled_from((0.1, 0.5)), outage_s=OUTAGES_S)
    def lose_datagrams(self, loss, outage_s):
        self._set_for(outage_s, self.world, 'loss', value=loss)

    @rule(at=GATEWAYS)
    def kill(self, at):
        self.world.kill(at)

    @rule()
    def kill_all(self):
        for name in range(HOSTS):
            self.world.kill(name)

    @rule(share=st.sampled_from((0.1, 0.3, 1)))
    def change_limit(self, share):
        since, _ = self.world.bounds_since[-1]
        if since < self.world.now:
            self.world.configure(
                Quota(100 * share, 50 * share, QuotaUnit.TOKENS, 20)
            )

    @invariant()
    def repair(self):
        """End the outages whose time has come."""
        for outage in tuple(self.repairs):
            ends_at, target, name, value = outage
            if self.world.now >= ends_at:
                self.repairs.remove(outage)
                setattr(target, name, value)

    @invariant()
    def balances_and_bucket_stay_under_the_limit(self):
        assert self.world.worst_potential <= ROUNDING

    def teardown(self):
        world = self.world
        since, quota = world.bounds_since[-1]
        if since < math.inf:
            assert find_excess(world.runs, quota, since, math.inf) <= ROUNDING

    def _set_for(self, outage_s, target, name, *, value):
        """Set an attribute, and restore it after a time."""
        healthy = {
            'is_frozen': False,
            'has_store': True,
            'follows': True,
            'cut': set(),
            'loss': 0,
        }
        setattr(target, name, value)
        ends_at = self.world.now + outage_s
        self.repairs.append((ends_at, target, name, healthy[name]))


TestGateways = Gateways.TestCase
TestGateways.settings = settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=60
)
