"""A state machine over the suspects of several gateways.

Messages are delayed and lost, gateways restart without memory, replicas crash
because of one part of a prompt and for other reasons, and sound requests that share
the other parts are in flight at both.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bramleybeam.gateway._suspects import CrashSuspects, LostRequest
from bramleybeam.gateway.tests.test_suspects import make_job

HOSTS = 4
# Crashes after which the part must be refused everywhere.
MAX_CRASHES = 5
FIRST_PART = 'first'
CRASHING_PART = 'crashing'
GATEWAYS = st.integers(0, HOSTS - 1)


class Gateways(RuleBasedStateMachine):
    """Hosts that see crashes and exchange what they know."""

    @initialize()
    def start(self):
        self.now = 100.0
        self.crash_count = 0
        self.request_count = 0
        self.crashes_known = 0
        self.messages = []
        self.hosts = [self._make_host(number) for number in range(HOSTS)]
        self._complete(self.hosts[0])

    def _make_host(self, number):
        host = CrashSuspects(lambda: self.now)
        host.on_news.append(
            lambda news: self.messages.extend(
                (other, news) for other in range(HOSTS) if other != number
            )
        )
        return host

    def _make_job(self, part):
        self.request_count += 1
        return make_job(f'/{self.request_count}', (FIRST_PART, part, 'own'))

    def _crash(self, host, jobs):
        self.crash_count += 1
        sent_at = self.now
        self.now += 0.2
        lost = [
            LostRequest('r', job.suspect_keys, sent_at, self.now)
            for job in jobs
        ]
        host.note_crash(f'c{self.crash_count}', lost)

    def _complete(self, host):
        host.note_sound(self._make_job('sound'))

    @rule(at=GATEWAYS)
    def crash_by_the_part(self, at):
        """A replica crashes on the part; the host has others in flight."""
        job = self._make_job(CRASHING_PART)
        if self.hosts[at].find_refusal(job) is None:
            self._crash(self.hosts[at], [job, self._make_job('sound')])
            self.crashes_known += 1

    @rule(at=GATEWAYS)
    def crash_for_another_reason(self, at):
        self._crash(self.hosts[at], [self._make_job('sound')])

    @rule(at=GATEWAYS)
    def complete_a_sound_request(self, at):
        self._complete(self.hosts[at])

    @rule(index=st.integers(0, 50))
    def deliver(self, index):
        if self.messages:
            receiver, news = self.messages.pop(index % len(self.messages))
            self.hosts[receiver].learn(news, 'neighbour')

    @rule(index=st.integers(0, 50))
    def lose(self, index):
        if self.messages:
            self.messages.pop(index % len(self.messages))

    @rule(at=GATEWAYS, seconds=st.floats(0, 2))
    def report(self, at, seconds):
        """Time passes, and a host repeats what it knows to all others."""
        self.now += seconds
        self._send_report(at)

    @rule(at=GATEWAYS)
    def restart(self, at):
        """The host takes over what the others know before it is used."""
        self.hosts[at] = self._make_host(at)
        for other in range(HOSTS):
            if other != at:
                self.hosts[at].learn(
                    self.hosts[other].report_for(str(at)), 'neighbour'
                )

    def _send_report(self, at):
        for other, host in enumerate(self.hosts):
            if other != at:
                report = self.hosts[at].report_for(str(other))
                host.learn(report, 'neighbour')

    @rule()
    def settle(self):
        """All messages arrive, and each host repeats what it knows."""
        while self.messages:
            receiver, news = self.messages.pop()
            self.hosts[receiver].learn(news, 'neighbour')
        for at in range(HOSTS):
            self._send_report(at)
        self._check_agreement()

    def _check_agreement(self):
        job = self._make_job(CRASHING_PART)
        refusing = [host.find_refusal(job) is not None for host in self.hosts]
        assert all(refusing) or not any(refusing)
        # Restarts may lose what only one host knew.
        known = max(host.count_crashes(job.part_keys[1]) for host in self.hosts)
        if known >= MAX_CRASHES:
            assert all(refusing)

    @invariant()
    def sound_requests_are_not_refused_for_long(self):
        """No host that has completed sound requests refuses them."""
        self._complete(self.hosts[1])
        assert self.hosts[1].find_refusal(self._make_job('sound')) is None


Gateways.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestGateways = Gateways.TestCase
