"""Planners, agents and engines with lost, late and duplicated messages.

The real planner of a shard, the real order executors and the real ledger run
against simulated engines in virtual time. Hypothesis chooses the faults.
"""

import asyncio
import itertools
import os
from types import MappingProxyType

import attrs
from expression import Error, Ok
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bramleybeam.agent._orders import OrderExecutor
from bramleybeam.agent._upstream import UpstreamState
from bramleybeam.decisions import (
    LOADING,
    READY,
    PlannedOrder,
    ShardPlanner,
    ShardUpstream,
    ShardView,
    share_limits,
)
from bramleybeam.documents import Model
from bramleybeam.messages import ArtifactState, Order, Report
from bramleybeam.simulation import VirtualLoop

CAPACITY_MB = 100
LOAD_S = 0.4
UNLOAD_S = 0.3
MAX_TRANSIT_S = 2.5
MODELS = MappingProxyType(
    {
        name: Model(name, memory_mb, 'pool')
        for name, memory_mb in (('a', 45), ('b', 40), ('c', 35), ('d', 30))
    }
)


class SimulatedEngine:
    """A simulated engine that keeps its artifacts, orders and highest epoch.

    The machine checks each load and unload for violations.
    """

    def __init__(self, loop, machine, *, checks_fencing) -> None:
        self.loop = loop
        self.machine = machine
        self.checks_fencing = checks_fencing
        self.boot = 1
        self.epoch = 0
        self.artifacts = {}
        self.orders = {}

    def apply(self, order):
        """Carry out an order and return its state.

        A repeated order isn't carried out again. An order with an old epoch
        is an error if the engine checks fencing.
        """
        order_state = self.orders.get(order.order_id)
        if order_state is not None:
            return Ok(order_state)
        if self.checks_fencing and order.epoch < self.epoch:
            return Error('old epoch')
        self.epoch = max(self.epoch, order.epoch)
        self.orders[order.order_id] = 'running'
        if order.action == 'load':
            self._load(order)
        else:
            self._unload(order)
        return Ok(self.orders[order.order_id])

    def crash(self):
        """Restart with no artifacts and no orders."""
        self.boot += 1
        self.artifacts = {}
        self.orders = {}

    def _load(self, order):
        name = order.artifact.name
        if name in self.artifacts:
            self.orders[order.order_id] = 'done'
            return
        self.artifacts[name] = attrs.evolve(order.artifact, state=LOADING)
        used = sum(held.memory_mb for held in self.artifacts.values())
        self.machine.check_memory(used)
        self._finish_later(LOAD_S, order, READY)

    def _unload(self, order):
        name = order.artifact.name
        if name not in self.artifacts:
            self.orders[order.order_id] = 'done'
            return
        self.machine.check_last_copy(self, name)
        self.artifacts[name] = attrs.evolve(
            self.artifacts[name], state='unloading'
        )
        self._finish_later(UNLOAD_S, order, '')

    def _finish_later(self, delay, order, state):
        boot = self.boot

        def finish():
            if boot != self.boot:
                return
            self.orders[order.order_id] = 'done'
            removed = self.artifacts.pop(order.artifact.name, None)
            if state and removed is not None:
                self.artifacts[removed.name] = attrs.evolve(
                    removed, state=state
                )

        self.loop.call_later(delay, finish)


class FaultyUpstream:
    """Transmits orders to an engine with the faults that the machine sets."""

    def __init__(self, engine, machine) -> None:
        self.engine = engine
        self.machine = machine
        self.dead = False

    async def order(self, order):
        fault = self.machine.next_fault()
        await asyncio.sleep(0.01)
        match fault:
            case 'lost':
                raise ConnectionError('lost')
            case 'late':
                delay = self.machine.next_delay()
                self.machine.loop.call_later(delay, self.engine.apply, order)
                raise ConnectionError('late')
            case 'reply_lost':
                self.engine.apply(order)
                raise ConnectionError('reply lost')
            case 'doubled':
                delay = self.machine.next_delay()
                self.machine.loop.call_later(delay, self.engine.apply, order)
        return self.engine.apply(order)

    async def state(self):
        await asyncio.sleep(0.01)
        if self.machine.next_fault() == 'lost':
            return None
        return UpstreamState(
            self.engine.boot,
            CAPACITY_MB,
            self.engine.epoch if self.engine.checks_fencing else 0,
            tuple(self.engine.artifacts.values()),
        )


@attrs.define(eq=False)
class Agent:
    """The order executor of an agent and its last report."""

    executor: OrderExecutor
    incarnation: str
    version: int = 0
    report: Report | None = None


class MemoryMachine(RuleBasedStateMachine):
    """Three engines, their agents, and up to two planners.

    The planner that was replaced last keeps planning with its old epoch.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.numbers = itertools.count(1)
        self.faults = []
        self.violations = []
        self.epoch = 0
        self.planners = []
        self.postponed_orders = []
        self.taken = 0
        self.engines = [
            SimulatedEngine(self.loop, self, checks_fencing=index == 0)
            for index in range(3)
        ]
        self.agents = []

    @initialize()
    def start(self):
        """Start the agents and one planner, and let the models load."""
        self.clock = _patch_clock(self.loop)
        self.agents = [self._make_agent(index) for index in range(3)]
        self.new_planner()
        for _ in range(30):
            self.let_time_pass(0.5, 0)

    def check_memory(self, used):
        """Record a violation if an accelerator is overcommitted."""
        if used > CAPACITY_MB:
            self.violations.append(f'overcommitted: {used}')

    def check_last_copy(self, engine, name):
        """Record a violation if the last ready copy is unloaded.

        Ignored after a recent crash: the unload may have been decided before
        the crash removed the other copies.
        """
        others = [
            other
            for other in self.engines
            if other is not engine
            and name in other.artifacts
            and other.artifacts[name].state == READY
        ]
        if not others and not self.has_recent_crash:
            self.violations.append(f'last copy of {name} unloaded')

    @property
    def has_recent_crash(self):
        """Return whether an engine crashed within the last 15 s.

        Then it may have lost its memory after an unload was decided.
        """
        return self.loop.time() < getattr(self, 'crash_effects_until', 0)

    def next_fault(self):
        """Return the fault of the next message, or ``ok``."""
        return self.faults.pop() if self.faults else 'ok'

    def next_delay(self):
        """Return the delay of the next late message in seconds."""
        return (next(self.numbers) * 0.37) % MAX_TRANSIT_S

    @rule(
        faults=st.lists(
            st.sampled_from(['ok', 'lost', 'late', 'reply_lost', 'doubled']),
            max_size=8,
        ),
    )
    def set_message_faults(self, faults):
        """Set the faults of the next messages."""
        self.faults = faults

    @rule(
        seconds=st.sampled_from([0.05, 0.3, 1.0, 4.0]),
        planner=st.integers(0, 1),
    )
    def let_time_pass(self, seconds, planner):
        """Let the agents observe their engines and a planner plan once."""
        self.loop.run_until_complete(self._round(seconds, planner))

    @rule(index=st.integers(0, 2))
    def crash_engine(self, index):
        """Restart an engine with empty memory."""
        self.engines[index].crash()
        self.crash_effects_until = self.loop.time() + 15

    @rule(index=st.integers(0, 2))
    def restart_agent(self, index):
        """Replace an agent while its orders are in transit."""
        old_executor = self.agents[index].executor
        self.loop.run_until_complete(old_executor.close())
        self.agents[index] = self._make_agent(index)

    @rule()
    def new_planner(self):
        """Add a planner with a new epoch, as when another entry gets the lease.

        The previous planner doesn't know of it yet and keeps planning.
        """
        self.epoch += 1
        planner = ShardPlanner(share_limits(50, 4, 360_000, 1))
        self.planners = [(self.epoch, planner), *self.planners][:2]

    @rule(
        index=st.integers(0, 2),
        model=st.sampled_from(sorted(MODELS)),
        action=st.sampled_from(['load', 'unload']),
        planner=st.integers(0, 1),
        postpone=st.booleans(),
    )
    def order(self, index, model, action, planner, postpone):
        """Send any order that the planner's own view allows, useful or not.

        A postponed order is sent by ``deliver_postponed``.
        """
        epoch, chosen = self.planners[planner % len(self.planners)]
        for agent in self.agents:
            self._report(agent)
        view = self._make_view(epoch)
        chosen._update_from_reports(view)
        placed = [
            chosen._to_placed_upstream(observed, epoch)
            for observed in view.upstreams
        ]
        if not _allows(placed, index, model, action):
            return
        planned = PlannedOrder(
            f'engine-{index}', action, model, '', MODELS[model].memory_mb
        )
        if not chosen.may_order(planned):
            return
        agent = self.agents[index]
        chosen.note_sent(planned, agent.incarnation, self.loop.time())
        if postpone:
            self.postponed_orders.append((epoch, chosen, planned, agent))
        else:
            self._deliver(epoch, chosen, planned, agent)

    @rule()
    def deliver_postponed(self):
        """Deliver the postponed orders, as if their planner had been paused."""
        for epoch, chosen, planned, agent in self.postponed_orders:
            if agent in self.agents:
                self._deliver(epoch, chosen, planned, agent)
        self.postponed_orders = []

    @rule(model=st.sampled_from(sorted(MODELS)))
    def make_busy(self, model):
        """Report demand for a model, so that planners load more copies."""
        self.busy_model = model

    @invariant()
    def nothing_broken(self):
        """No accelerator was overcommitted and no last copy was unloaded."""
        assert not self.violations

    def teardown(self):
        """Close the agents and the event loop, and restore the real clock."""
        for agent in self.agents:
            self.loop.run_until_complete(agent.executor.close())
        self.clock.stop()
        asyncio.set_event_loop(None)
        self.loop.close()

    async def _round(self, seconds, planner):
        for agent in self.agents:
            await agent.executor.observe()
            self._report(agent)
        if self.planners:
            epoch, chosen = self.planners[planner % len(self.planners)]
            await self._plan(epoch, chosen)
        await asyncio.sleep(seconds)

    async def _plan(self, epoch, planner):
        for agent in self.agents:
            if agent.report and agent.report.epoch < epoch:
                agent.executor.note_epoch(epoch)
        view = self._make_view(epoch)
        for planned in planner.plan(view, self.loop.time()):
            index = int(planned.upstream[-1])
            agent = self.agents[index]
            planner.note_sent(planned, agent.incarnation, self.loop.time())
            await asyncio.sleep(0.01)
            self._deliver(epoch, planner, planned, agent)

    def _deliver(self, epoch, planner, planned, agent):
        async def submit():
            return agent.executor.submit(_make_order(self, epoch, planned))

        if asyncio._get_running_loop() is None:
            reply = self.loop.run_until_complete(submit())
        else:
            reply = agent.executor.submit(_make_order(self, epoch, planned))
        self.taken += reply.taken
        version = agent.report.version if agent.report else 0
        planner.note_answer(planned, version, taken=reply.taken)

    def _make_view(self, epoch):
        return ShardView(
            epoch=epoch,
            upstreams=tuple(
                ShardUpstream(
                    f'engine-{index}',
                    'pool',
                    CAPACITY_MB,
                    is_available=agent.executor.healthy,
                    report=agent.report,
                )
                for index, agent in enumerate(self.agents)
            ),
            models=MODELS,
            home=frozenset(MODELS),
            ready_elsewhere={},
        )

    def _make_agent(self, index):
        upstream = FaultyUpstream(self.engines[index], self)
        agent = Agent(None, f'agent-{next(self.numbers)}')

        def note_change():
            agent.version += 1

        agent.executor = OrderExecutor(
            upstream, lambda _name: False, note_change
        )
        return agent

    def _report(self, agent):
        executor = agent.executor
        agent.report = Report(
            upstream='',
            kind='engine',
            zone='zone',
            incarnation=agent.incarnation,
            version=agent.version,
            settled=executor.settled,
            healthy=executor.healthy,
            leaving=False,
            capacity_mb=executor.ledger.capacity_mb,
            epoch=executor.epoch,
            in_flight=0,
            limit=4,
            artifacts=tuple(executor.ledger.holdings.values()),
            running={getattr(self, 'busy_model', 'a'): 12},
        )


def _allows(placed, index, model, action):
    upstream = placed[index]
    if not upstream.usable:
        return False
    if action == 'load':
        return not upstream.holds(model)
    ready = sum(
        candidate.usable and candidate.has_ready(model) for candidate in placed
    )
    return upstream.has_ready(model) and ready > 1


def _make_order(machine, epoch, planned):
    return Order(
        order_id=f'order-{next(machine.numbers)}',
        shard='zone',
        epoch=epoch,
        action=planned.action,
        artifact=ArtifactState(
            planned.model, 'model', planned.memory_mb, LOADING
        ),
    )


class _PatchedClock:
    def __init__(self, loop) -> None:
        import time  # noqa: PLC0415

        self._time = time
        self._real_monotonic = time.monotonic
        time.monotonic = loop.time

    def stop(self):
        """Restore the real clock."""
        self._time.monotonic = self._real_monotonic


def _patch_clock(loop):
    return _PatchedClock(loop)


TestMemoryMachine = MemoryMachine.TestCase
TestMemoryMachine.settings = settings(
    max_examples=int(os.environ.get('MACHINE_EXAMPLES', '60')),
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
