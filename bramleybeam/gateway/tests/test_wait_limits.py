"""When a request stops waiting, and when its caller may return."""

from types import SimpleNamespace

import pytest

from bramleybeam.catalog import EngineSpec, ModelSpec
from bramleybeam.gateway._job import QueueExitReason
from bramleybeam.gateway._wait_limits import WaitState, find_wait_refusal

MODELS = {'m1': ModelSpec('m1', 50, 2.2, 1.4, 1.1)}
ENGINE = EngineSpec(4, 1000, 100, 4, 2, MODELS)
NO_HOLDER = WaitState(had_no_holder=True, has_holder=False)


def make_job(model='m1', engine=ENGINE):
    return SimpleNamespace(
        received_at=0,
        max_queue_wait_s=1.8,
        queue_exit=None,
        route=SimpleNamespace(objective_s=0.5),
        service=SimpleNamespace(engine=engine),
        facts=SimpleNamespace(model=model, adapter=''),
    )


def make_directory(now, eta_s=None, *, has_live_planner=True):
    placement = SimpleNamespace(
        has_live_planner=has_live_planner,
        arrival_eta_s=lambda _model: eta_s,
    )
    return SimpleNamespace(now=lambda: now, placement=placement)


@pytest.mark.parametrize(
    ('state', 'directory', 'reason', 'retry_after_s'),
    [
        (NO_HOLDER, make_directory(1.0), None, None),
        (WaitState(), make_directory(1.0), None, None),
        # Every holder stayed full: one may be free at any time.
        (WaitState(), make_directory(1.9), QueueExitReason.WAITED_LONG, 1),
        # Nothing loads the model yet: it takes at least the time of a load.
        (NO_HOLDER, make_directory(1.9), QueueExitReason.WAITED_LONG, 2.4),
        (
            WaitState(had_no_holder=True),
            make_directory(1.9),
            QueueExitReason.WAITED_LONG,
            1,
        ),
        # It arrives in time, or later than this request may wait.
        (NO_HOLDER, make_directory(0.5, eta_s=1), None, None),
        (
            NO_HOLDER,
            make_directory(0.5, eta_s=3),
            QueueExitReason.ARRIVES_LATER,
            3.2,
        ),
        # The new planner comes first, and the load after it.
        (
            NO_HOLDER,
            make_directory(0.5, has_live_planner=False),
            QueueExitReason.NO_PLANNER,
            2.5 + 2.4,
        ),
        (
            WaitState(pause_s=4),
            make_directory(0.1),
            QueueExitReason.REPLICAS_PAUSED,
            4,
        ),
    ],
)
def test_end_of_a_wait(state, directory, reason, retry_after_s):
    job = make_job()
    refusal = find_wait_refusal(job, state, directory)
    assert job.queue_exit == reason
    assert (refusal and refusal.retry_after) == (
        retry_after_s and pytest.approx(retry_after_s)
    )


@pytest.mark.parametrize('model', ['unknown', ''])
def test_unknown_model_is_refused_with_the_general_time(model):
    refusal = find_wait_refusal(make_job(model), NO_HOLDER, make_directory(1.9))
    assert refusal.retry_after == 1
