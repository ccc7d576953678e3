"""Decides when a request stops waiting for a replica.

Handles this load: every replica that could serve a request is full, asks for a
pause, or does not hold the model yet. A request that can't be served in time is
refused as soon as that is known, so that its caller can go elsewhere.
"""

from typing import Final

import attrs

from bramleybeam.errors import ErrorKind, Refusal, refuse
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._job import Job, QueueExitReason

# Longest time after which a waiting request looks for a replica again.
RECHECK_S: Final = 0.25
# Retry-After of a refusal when no replica got free in time.
_RETRY_AFTER_S: Final = 1.0
# Time in which a new planner is expected.
_PLANNER_CHANGE_S: Final = 2.5
# Added to the time until a model is expected, for the Retry-After of a refusal.
_ARRIVAL_MARGIN_S: Final = 0.2
# Retry-After of a plain service, and while this process shuts down.
_PLAIN_RETRY_AFTER_S: Final = 0.1


@attrs.frozen
class QueueForecast:
    """How long a request is expected to wait for a place.

    ``wait_s`` is the expected time, and ``retry_after_s`` the Retry-After of a
    refusal because of it. ``is_too_long`` is whether the request can't begin
    within its time limit. The expectation follows from ``ahead``, the places
    that others get before, and from the durations of requests, the newest of
    which is ``age_s`` old. Times are in seconds.
    """

    wait_s: float
    retry_after_s: float
    ahead: int
    age_s: float
    is_too_long: bool

    def describe(self) -> str:
        """Return the expectation and its inputs, for a refusal."""
        return (
            f'About {self.wait_s:.1f} s of queue time are expected, with'
            f' {self.ahead} requests ahead and durations measured until'
            f' {self.age_s:.1f} s ago.'
        )


@attrs.frozen
class WaitState:
    """What a waiting request has found.

    ``pause_s`` is the time in seconds until one of the replicas that hold its
    target takes requests again, 0 if one does. ``had_no_holder`` is whether, at
    some time of the wait, no replica held the target, and ``has_holder`` whether
    one does now. ``forecast`` is ``None`` while nothing is known of the wait.
    """

    pause_s: float = 0
    had_no_holder: bool = False
    has_holder: bool = True
    forecast: QueueForecast | None = None

    @property
    def recheck_s(self) -> float:
        """Seconds after which to look for a replica again."""
        return min(self.pause_s or RECHECK_S, RECHECK_S)


def refuse_for_shutdown(job: Job) -> Refusal:
    """Return the refusal of a request that waits while the process stops."""
    job.queue_exit = QueueExitReason.STOPPING
    return refuse(ErrorKind.SHUTTING_DOWN, retry_after=_PLAIN_RETRY_AFTER_S)


def find_wait_refusal(
    job: Job, state: WaitState, directory: Directory
) -> Refusal | None:
    """Return the refusal that ends a wait, ``None`` to wait on."""
    now = directory.now()
    wait_left_s = job.received_at + job.max_queue_wait_s - now
    time_to_objective_s = job.received_at + job.route.objective_s - now
    if state.pause_s > max(time_to_objective_s, RECHECK_S):
        job.queue_exit = QueueExitReason.REPLICAS_PAUSED
        return _make_refusal(job, state.pause_s)
    if state.had_no_holder and not directory.placement.has_live_planner:
        job.queue_exit = QueueExitReason.NO_PLANNER
        return _make_refusal(job, _PLANNER_CHANGE_S + (_load_time_s(job) or 0))
    eta_s = directory.placement.arrival_eta_s(job.facts.model)
    if state.had_no_holder and eta_s is not None and eta_s > wait_left_s:
        job.queue_exit = QueueExitReason.ARRIVES_LATER
        return _make_refusal(job, eta_s + _ARRIVAL_MARGIN_S)
    if wait_left_s > 0:
        return _refuse_long_queue(job, state.forecast)
    job.queue_exit = QueueExitReason.WAITED_LONG
    if not state.has_holder:
        return _make_refusal(job, _load_time_s(job))
    if state.forecast is None:
        return _make_refusal(job)
    # It was not served within the time expected before.
    retry_after_s = max(_shortest_retry_s(job), state.forecast.retry_after_s)
    return _make_refusal(job, retry_after_s, state.forecast.describe())


def _refuse_long_queue(
    job: Job, forecast: QueueForecast | None
) -> Refusal | None:
    """Return the refusal of a request that can't begin in time."""
    if forecast is None or not forecast.is_too_long:
        return None
    job.queue_exit = QueueExitReason.QUEUE_TOO_LONG
    return _make_refusal(job, forecast.retry_after_s, forecast.describe())


def _load_time_s(job: Job) -> float | None:
    """Return when a target that isn't being loaded yet may have arrived.

    A caller that returned sooner would be refused again. ``None`` if the time is
    unknown.
    """
    engine = job.service.engine
    model = engine.models.get(job.facts.model) if engine else None
    return model.load_s + _ARRIVAL_MARGIN_S if model else None


def _shortest_retry_s(job: Job) -> float:
    return (
        _PLAIN_RETRY_AFTER_S if job.service.engine is None else _RETRY_AFTER_S
    )


def _make_refusal(
    job: Job, retry_after_s: float | None = None, detail: str = ''
) -> Refusal:
    retry_after_s = retry_after_s or _shortest_retry_s(job)
    if job.service.engine is None:
        return refuse(
            ErrorKind.TARGET_UNREACHABLE, detail, retry_after=retry_after_s
        )
    asked = f'Asked: {job.facts.model} {job.facts.adapter}. {detail}'
    return refuse(
        ErrorKind.NO_READY_UPSTREAM, asked.strip(), retry_after=retry_after_s
    )
