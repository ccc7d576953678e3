"""The age of keys, from calls to the store and from neighbours."""

import attrs
import pytest

from bramleybeam.workspaces import KeyAge, KeyReport, StampEcho, max_key_age_s

LIMIT_S = 3.75


@attrs.define
class Clock:
    """A clock that the test sets."""

    now: float

    def __call__(self):
        """Return the time in seconds."""
        return self.now


@pytest.fixture
def clocks():
    """Return the clocks of two hosts that were started at different times."""
    return Clock(1000.5), Clock(77)


@pytest.fixture
def gateways(clocks):
    """Return a gateway that has not read the store, and one that just has."""
    ages = [KeyAge(clock, LIMIT_S) for clock in clocks]
    for age in ages:
        age.version = 4
    read = ages[1].begin_read(4, 9)
    ages[1].note_read(read, 9)
    return ages


def advance(clocks, seconds):
    for clock in clocks:
        clock.now += seconds


def exchange(receiver, sender, names=('child', 'parent')):
    """Let ``receiver`` report to ``sender`` and learn the answer."""
    sender.learn(receiver.make_report(names[1]), names[0])
    receiver.learn(sender.make_report(names[0]), names[1])


@pytest.mark.parametrize(
    ('revocation_s', 'limit_s'), [(None, None), (5, 3.75), (1.25, 0), (1, 0)]
)
def test_limit_leaves_time_for_the_watch_and_for_timers(revocation_s, limit_s):
    assert max_key_age_s(revocation_s) == limit_s


def test_age_counts_from_when_the_call_was_sent(clocks):
    """A change after the send may be missing in an answer that comes late."""
    clock = clocks[0]
    age = KeyAge(clock, LIMIT_S)
    assert not age.is_current
    read = age.begin_read(0, 0)
    clock.now += 3
    age.version = 1
    age.note_read(read, 5)
    assert age.age_s == pytest.approx(3)
    assert age.is_current
    clock.now += 0.75
    assert not age.is_current


@pytest.mark.parametrize(('known_version', 'known_revision'), [(5, 9), (4, 10)])
def test_stale_answer_shows_nothing(clocks, known_version, known_revision):
    """The answer lacks what was known when the call was sent."""
    age = KeyAge(clocks[0], LIMIT_S)
    age.version = 4
    age.note_read(age.begin_read(known_version, known_revision), 9)
    assert not age.is_current


@pytest.mark.parametrize('delay_s', [0, 0.4, 2])
@pytest.mark.parametrize('read_again', [False, True])
def test_neighbour_shows_that_keys_are_current(
    gateways, clocks, delay_s, read_again
):
    """The age may be too high by the delay of the messages, never too low."""
    child, parent = gateways
    report = child.make_report('parent')
    advance(clocks, delay_s)
    parent.learn(report, 'child')
    advance(clocks, 0.5)
    if read_again:
        parent.note_read(parent.begin_read(4, 9), 9)
    answer = parent.make_report('child')
    advance(clocks, delay_s)
    child.learn(answer, 'parent')
    true_age_s = delay_s
    if not read_again:
        true_age_s += delay_s + 0.5
    assert true_age_s <= child.age_s <= true_age_s + delay_s + 0.003
    assert child.source == 'parent'


def test_age_falls_with_each_message_of_a_neighbour_that_reads(
    gateways, clocks
):
    """A lost report must not make the keys outdated: its stamp is reused."""
    child, parent = gateways
    exchange(child, parent)
    for _ in range(20):
        advance(clocks, 0.5)
        parent.note_read(parent.begin_read(4, 9), 9)
        child.learn(parent.make_report('child'), 'parent')
    assert child.age_s < 0.01


def test_other_version_of_the_configuration_shows_nothing(gateways):
    child, parent = gateways
    child.version = 3
    exchange(child, parent)
    assert not child.is_current


def test_echo_for_an_earlier_start_is_ignored(gateways, clocks):
    """After a restart of the host its clock may pass the same times again."""
    child, parent = gateways
    parent.learn(child.make_report('parent'), 'child')
    clocks[0].now = 0.5
    restarted = KeyAge(clocks[0], LIMIT_S)
    restarted.version = 4
    clocks[0].now = 2000
    restarted.learn(parent.make_report('child'), 'parent')
    assert not restarted.is_current


def test_duplicate_and_late_messages_do_not_lower_the_age(gateways, clocks):
    child, parent = gateways
    parent.learn(child.make_report('parent'), 'child')
    answer = parent.make_report('child')
    child.learn(answer, 'parent')
    advance(clocks, 2)
    age_s = child.age_s
    for _ in range(3):
        child.learn(answer, 'parent')
    assert child.age_s == age_s
    child.note_read(child.begin_read(4, 9), 9)
    child.learn(answer, 'parent')
    assert (child.age_s, child.source) == (0, 'store')


def test_moment_in_the_future_is_ignored(gateways):
    child, _parent = gateways
    stamp = child.make_report('parent').stamp
    child.learn(KeyReport(0, 4, StampEcho(stamp, -60_000)), 'parent')
    assert not child.is_current


@pytest.mark.parametrize(
    ('limit_s', 'has_keys'), [(None, True), (None, False), (LIMIT_S, False)]
)
def test_unlimited_age_adds_nothing(clocks, limit_s, has_keys):
    """Guards against longer messages and log lines in other deployments.

    They have no strict revocation, or no keys.
    """
    age = KeyAge(clocks[0], limit_s)
    age.has_keys = has_keys
    age.note_read(age.begin_read(0, 0), 0)
    age.learn(KeyReport(1, 1), 'child')
    assert age.is_current
    assert age.make_report('child') is None
    assert age.describe() == {}


def test_forgotten_neighbour_gets_no_echo(gateways):
    child, parent = gateways
    parent.learn(child.make_report('parent'), 'child')
    parent.forget('child')
    assert parent.make_report('child').echo is None


def test_keys_age_while_the_newest_configuration_is_unreadable(clocks):
    """The version that can't be decoded may have removed keys."""
    age = KeyAge(clocks[0], LIMIT_S)
    age.is_readable = False
    age.note_read(age.begin_read(0, 0), 5)
    assert not age.is_current
    age.is_readable = True
    age.note_read(age.begin_read(0, 5), 5)
    assert age.is_current
