"""No gateway serves a key later than allowed after its removal.

Several gateways with clocks of their own read a store and exchange messages that
are lost, delayed and duplicated. Gateways are frozen, resumed and restarted, and
the store does not answer for some time or shows a state that is up to 1 s old.
"""

import heapq
from bisect import bisect_right

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bramleybeam.catalog import (
    RequestKind,
    Route,
    RouteTarget,
    RoutingConfiguration,
    Workspace,
    WorkspaceDirectory,
)
from bramleybeam.workspaces import (
    KeyAge,
    KeyState,
    find_caller,
    max_key_age_s,
)

REVOCATION_S = 5
WATCH_BLINDNESS_S = 1
GATEWAY_COUNT = 3
GATEWAYS = st.integers(0, GATEWAY_COUNT - 1)
# Delays in seconds, most of which are short beside the limit.
DELAYS = st.sampled_from((0, 0, 0.1, 0.5, 1, 2, 3.7, 4.9))
# Times in seconds that pass after a rule. Faults need some of them to show.
PAUSES = st.sampled_from((0, 0, 0.3, 1, 4.9))
# Ages in seconds of the state that a call to the store shows.
BLIND_TIMES = st.sampled_from((0, 0.5, WATCH_BLINDNESS_S))
STEP_S = 0.1
ROUTE = Route(
    'post', 'd', '/', RequestKind.IDEMPOTENT, (RouteTarget('s', 1),), 3, 1
)
ALL_KEYS = 60


def make_configuration(version):
    """Return a configuration that lacks the keys of all earlier versions."""
    keys = [b'%d' % number for number in range(version, ALL_KEYS)]
    workspaces = WorkspaceDirectory.from_keys([(Workspace('w'), keys)])
    return RoutingConfiguration(version, (), {}, workspaces=workspaces)


CONFIGURATIONS = {
    version: make_configuration(version) for version in range(1, ALL_KEYS)
}


@attrs.define(eq=False)
class Gateway:
    """One process; its host's clock is ahead by ``offset_s``.

    What arrives while it is frozen is in ``inbox``.
    """

    offset_s: float
    age: KeyAge | None = None
    is_frozen: bool = False
    inbox: list = attrs.field(factory=list)


class Revocation(RuleBasedStateMachine):
    """Each rule starts something; what follows happens while time passes."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.is_down = False
        # Times at which the versions from 1 on were acknowledged.
        self.written_at = [0.0]
        self.gateways = []
        self.events = []
        self.event_count = 0

    @initialize(
        offsets=st.lists(
            st.floats(0, 1e6),
            min_size=GATEWAY_COUNT,
            max_size=GATEWAY_COUNT,
        )
    )
    def start(self, offsets):
        for offset_s in offsets:
            gateway = Gateway(offset_s)
            self.gateways.append(gateway)
            self.start_process(gateway)
            self.read(gateway, 0, 0, 0)
        self.wait(0.1)

    def start_process(self, gateway):
        gateway.is_frozen = False
        gateway.age = KeyAge(
            lambda: self.now + gateway.offset_s, max_key_age_s(REVOCATION_S)
        )
        self.empty_inbox(gateway)

    def empty_inbox(self, gateway):
        inbox = gateway.inbox
        gateway.inbox = []
        for handler in inbox:
            handler()

    def after(self, delay_s, handler):
        self.event_count += 1
        event = (self.now + delay_s, self.event_count, handler)
        heapq.heappush(self.events, event)

    def deliver(self, gateway, delay_s, handler):
        """Let a process handle something after a delay, once it is awake."""

        def arrive():
            if gateway.is_frozen:
                gateway.inbox.append(handler)
            else:
                handler()

        self.after(delay_s, arrive)

    @rule(seconds=DELAYS)
    def wait(self, seconds):
        end_at = self.now + seconds
        while self.events and self.events[0][0] <= end_at:
            happens_at, _, handler = heapq.heappop(self.events)
            self.pass_time(happens_at)
            handler()
            self.check()
        self.pass_time(end_at)

    def pass_time(self, until):
        while self.now + STEP_S < until:
            self.now += STEP_S
            self.check()
        self.now = max(self.now, until)
        self.check()

    @rule(then_s=PAUSES)
    def remove_key(self, then_s):
        if not self.is_down and len(self.written_at) < ALL_KEYS - 2:
            self.written_at.append(self.now)
        self.wait(then_s)

    @rule(is_down=st.booleans())
    def switch_store(self, is_down):
        self.is_down = is_down

    @rule(
        at=GATEWAYS,
        there_s=DELAYS,
        blind_s=BLIND_TIMES,
        back_s=DELAYS,
        then_s=PAUSES,
    )
    def call_store(self, at, there_s, blind_s, back_s, then_s):
        if not self.gateways[at].is_frozen:
            self.read(self.gateways[at], there_s, blind_s, back_s)
        self.wait(then_s)

    def read(self, gateway, there_s, blind_s, back_s):
        """Call the store, which shows a state of ``blind_s`` ago."""
        age = gateway.age
        read = age.begin_read(age.version, age.version)

        def answer():
            if self.is_down:
                return
            seen_at = max(0.0, self.now - blind_s)
            version = bisect_right(self.written_at, seen_at)
            self.deliver(gateway, back_s, lambda: take(version))

        def take(version):
            age.version = max(age.version, version)
            age.note_read(read, version)

        self.after(there_s, answer)

    @rule(
        first=GATEWAYS,
        second=GATEWAYS,
        there_s=DELAYS,
        pause_s=DELAYS,
        back_s=DELAYS,
        repeat_s=DELAYS,
        then_s=PAUSES,
    )
    def exchange(
        self, first, second, there_s, pause_s, back_s, repeat_s, then_s
    ):
        """A report and its answer, which arrives twice if it is delayed.

        The answer to a report that arrived while the receiver was frozen is
        sent when it is awake.
        """
        here, there = self.gateways[first], self.gateways[second]
        if first == second or here.is_frozen:
            return
        report = here.age.make_report(str(second))

        def answer():
            reply = there.age.make_report(str(first))

            def take_reply():
                here.age.learn(reply, str(second))

            self.deliver(here, back_s, take_reply)
            self.deliver(here, back_s + repeat_s, take_reply)

        def take():
            there.age.learn(report, str(first))
            self.deliver(there, pause_s, answer)

        self.deliver(there, there_s, take)
        self.wait(then_s)

    @rule(reader=GATEWAYS, blind_s=BLIND_TIMES, back_s=DELAYS, then_s=PAUSES)
    def operate(self, reader, blind_s, back_s, then_s):
        """One gateway reads the store, and the others report to it."""
        self.call_store(reader, 0, blind_s, 0, 0)
        for other in range(GATEWAY_COUNT):
            self.exchange(other, reader, 0, 0, back_s, 0, 0)
        self.wait(then_s)

    @rule()
    def lose_all_messages(self):
        self.events.clear()

    @rule(at=GATEWAYS, then_s=PAUSES)
    def freeze(self, at, then_s):
        self.gateways[at].is_frozen = True
        self.wait(then_s)

    @rule(at=GATEWAYS)
    def resume(self, at):
        """The process is checked before it handles what has arrived."""
        gateway = self.gateways[at]
        gateway.is_frozen = False
        self.check()
        self.empty_inbox(gateway)

    @rule(at=GATEWAYS, is_reboot=st.booleans(), up_s=DELAYS)
    def restart(self, at, is_reboot, up_s):
        """The process starts from nothing; the host's clock may, too.

        Answers to the former process reach the new one.
        """
        gateway = self.gateways[at]
        if is_reboot:
            gateway.offset_s = up_s - self.now
        self.start_process(gateway)

    @invariant()
    def check(self):
        for gateway in self.gateways:
            age = gateway.age
            # A moment in the future would serve keys for too long.
            assert age.age_s >= 0
            version = age.version
            if gateway.is_frozen or version in {0, len(self.written_at)}:
                continue
            # The key that the next version lacks.
            found = find_caller(
                CONFIGURATIONS[version],
                ROUTE,
                b'%d' % version,
                KeyState(age.is_current),
            )
            removed_at = self.written_at[version]
            assert found.is_error() or self.now <= removed_at + REVOCATION_S


Revocation.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)
TestRevocation = Revocation.TestCase
