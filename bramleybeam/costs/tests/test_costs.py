"""Tests of learned rates, backlogs and pacing."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramleybeam.costs import (
    DEFAULT_PROMPT_RATE,
    CostModel,
    LearnedRates,
    RequestWork,
    WorkBacklogs,
    WorkNotice,
    can_wait,
    would_stall_streams,
)

CODE = 0xABCDEF


@given(st.integers(0, 0xFFFFFF), st.integers(0, 0xFFFF))
def test_notice_is_decoded_as_it_was_encoded(code, work_ms):
    notice = WorkNotice(code, work_ms / 1000)
    assert WorkNotice.decode(notice.encode()) == notice


@pytest.mark.parametrize('encoded', [b'', b'1234', b'123456'])
def test_malformed_notice_is_rejected(encoded):
    with pytest.raises(ValueError, match='unpack requires'):
        WorkNotice.decode(encoded)


def test_backlog_grows_with_requests_and_is_worked_off():
    backlogs = WorkBacklogs()
    backlogs.add(WorkNotice(CODE, 0.2), now=10)
    backlogs.add(WorkNotice(CODE, 0.3), now=10.1)
    assert backlogs.seconds(CODE, 10.2) == pytest.approx(0.5 - 0.75 * 0.2)
    assert backlogs.seconds(CODE, 11) == 0
    assert backlogs.seconds(CODE + 1, 10.2) == 0


@given(st.lists(st.tuples(st.floats(0, 65), st.floats(0, 5)), max_size=50))
def test_backlog_is_bounded_whatever_peers_claim(sends):
    """A peer with wrong estimates does not keep a replica unused for long."""
    backlogs = WorkBacklogs()
    now = 0.0
    for work_s, pause_s in sends:
        now += pause_s
        backlogs.add(WorkNotice(CODE, work_s), now)
        assert 0 <= backlogs.seconds(CODE, now) <= 30


def test_backlog_does_not_grow_when_the_clock_steps_back():
    backlogs = WorkBacklogs()
    backlogs.add(WorkNotice(CODE, 0.2), now=10)
    assert backlogs.seconds(CODE, 9) == pytest.approx(0.2)


@pytest.mark.parametrize('rate', [2_000.0, 16_000.0, 130_000.0])
def test_rate_of_a_model_is_learned_and_used_for_other_replicas(rate):
    """A model that is eight times as fast is not taken for the usual one."""
    costs = CostModel()
    for _ in range(60):
        work = RequestWork(CODE, 'm1', 2000, 0, 0, sent_at=5)
        costs.learn(work, 5 + 0.035 + 2000 / rate)
    known_s = costs.prompt_work_s(CODE, 'm1', 2000)
    other_s = costs.prompt_work_s(CODE + 1, 'm1', 2000)
    assert known_s == pytest.approx(2000 / rate, rel=0.1)
    assert other_s == pytest.approx(2000 / rate, rel=0.1)
    prior_s = 2000 / DEFAULT_PROMPT_RATE
    assert costs.prompt_work_s(CODE, 'm2', 2000) == prior_s


def test_work_ahead_is_not_blamed_on_the_prompt():
    costs = CostModel()
    for _ in range(60):
        work = RequestWork(CODE, 'm1', 2000, ahead_s=0.4, work_s=0, sent_at=0)
        costs.learn(work, 0.4 + 0.035 + 2000 / 20_000)
    assert costs.prompt_work_s(CODE, 'm1', 2000) == pytest.approx(0.1, rel=0.1)


def test_short_prompts_teach_nothing():
    costs = CostModel()
    costs.learn(RequestWork(CODE, 'm1', 20, 0, 0, sent_at=0), 3)
    assert costs.prompt_work_s(CODE, 'm1', 16_000) == 1


def test_duration_at_a_plain_service_is_learned_by_replica():
    costs = CostModel()
    for _ in range(60):
        costs.learn(RequestWork(CODE, 'post', 0, 0, 0, sent_at=0), 0.18)
    assert costs.plain_work_s(CODE, 'post', slots=6) == pytest.approx(
        0.03, rel=0.1
    )


@given(st.lists(st.floats(1e-6, 1e6), min_size=1, max_size=30))
def test_rates_stay_within_a_factor_of_the_default(samples):
    """One replica that hangs does not get an estimate of hours."""
    rates = LearnedRates(default=100)
    for sample in samples:
        rates.learn(('replica', 'model'), sample)
    assert 100 / 17 < rates.find(('replica', 'model')) < 1700


def test_number_of_rates_is_bounded():
    rates = LearnedRates(default=100)
    for number in range(10_000):
        rates.learn((number, f'model-{number}'), 200)
    assert len(rates._rates) <= 4096
    assert rates.find((0, 'model-0')) == 100


@pytest.mark.parametrize(
    ('backlog_s', 'work_s', 'gap_s', 'running', 'stalls'),
    [
        (0.2, 0.1, 0.3, 5, True),
        (0.1, 0.1, 0.3, 5, False),
        # Nobody is there to be disturbed.
        (0.2, 0.1, 0.3, 0, False),
        # The route allows any pause.
        (0.2, 0.1, 0, 5, False),
        # The prompt alone takes longer than the pause: waiting does not help.
        (0, 0.5, 0.3, 5, False),
    ],
)
def test_prompts_wait_for_a_replica_only_if_streams_would_stall(
    backlog_s, work_s, gap_s, running, stalls
):
    assert would_stall_streams(backlog_s, work_s, gap_s, running) is stalls


@pytest.mark.parametrize(
    ('first_event_s', 'left_s', 'waits'),
    [(0.1, 1, True), (0.4, 0.5, False), (0.1, -1, False)],
)
def test_request_waits_only_while_it_meets_its_objective(
    first_event_s, left_s, waits
):
    assert can_wait(first_event_s, left_s) is waits
