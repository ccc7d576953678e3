"""Chooses the replica for each request.

Requests that find no replica with free capacity wait in one queue for each
service, whatever model and adapter they are for, because the replicas share
their capacity between them. Free places are assigned in the order of the queue.
"""

import asyncio
import random
from collections.abc import Callable, Hashable, Iterator, Sequence
from contextlib import contextmanager
from typing import Final, Self

import attrs

from bramleybeam.catalog import EngineSpec, Replica
from bramleybeam.costs import can_wait, would_stall_streams
from bramleybeam.decisions import Candidate, PrefixHistory, choose_upstream
from bramleybeam.gateway._change_notifier import ChangeNotifier
from bramleybeam.gateway._cluster_state import ClusterState
from bramleybeam.gateway._holders import HolderFinder
from bramleybeam.gateway._job import Job, RequestRefusedError
from bramleybeam.gateway._loads import InFlightRequest, LoadReport
from bramleybeam.gateway._pending_demand import (
    PendingDemandTable,
    PendingTarget,
)
from bramleybeam.gateway._wait_limits import (
    RECHECK_S,
    QueueForecast,
    WaitState,
    find_wait_refusal,
    refuse_for_shutdown,
)
from bramleybeam.gateway._waiters import (
    AheadCounter,
    Assignment,
    Waiter,
    WaiterQueue,
)
from bramleybeam.gateway._work import WorkTracker
from bramleybeam.limits import Incarnation
from bramleybeam.queueing import (
    cannot_meet_deadline,
    expected_wait,
    spread_retry,
    tolerant_places,
)

# Time that each request in a batch adds to the next token of all of them.
_STEP_PER_REQUEST_S: Final = 0.0004
# The same for the replicas of plain services, besides the estimated work.
_PLAIN_STEP_S: Final = 0.002
# Time in seconds after which a request that waits for a replica to work off its
# prompts looks for one again.
_PACING_S: Final = 0.03
# Requests sent to a replica of a plain service for each of its slots. Those in
# excess of its slots wait in the replica's queue.
_PLAIN_QUEUE_PER_SLOT: Final = 2
# The same for an engine, whose batch would otherwise run short of requests until
# the gateways learn that some have ended.
_ENGINE_QUEUE_PER_SLOT: Final = 1.25
# Share of an engine's cache that the requests sent to it may need.
_USABLE_CACHE_SHARE: Final = 0.95
# Number of gateways for each candidate above which a gateway compares only some
# randomly drawn candidates, and their number.
_CROWD_FACTOR: Final = 4
_CROWD_SAMPLE: Final = 2
# Time in seconds after which places are assigned without a known change, because
# pauses and reports of other gateways end without a notification.
_REASSIGN_S: Final = 0.05


class Chooser:
    """Finds a replica that holds a request's target and has free capacity."""

    def __init__(
        self,
        cluster_state: ClusterState,
        zone: str,
        rng: random.Random,
        is_connected: Callable[[Incarnation], bool] | None = None,
    ) -> None:
        """Store the tables to choose from; ``zone`` is the local zone.

        ``changed`` is notified when a waiting request may find a replica.
        ``is_connected`` returns whether an open connection to a replica can be
        used; without it connections are not considered. ``work`` tells what is
        sent to the replicas.
        """
        self.changed = ChangeNotifier()
        self._is_stopping = False
        self._directory = cluster_state.directory
        self._loads = cluster_state.loads
        self._failures = cluster_state.failures
        self._suspects = cluster_state.suspects
        self._access = cluster_state.access
        self._finder = HolderFinder(cluster_state)
        self._demand = cluster_state.demand
        self._zone = zone
        self._is_connected = is_connected or _always_connected
        self._rng = rng
        self._prefixes = PrefixHistory()
        self.work = WorkTracker(cluster_state, self._count_uncached_tokens)
        self._pacing_timer: asyncio.TimerHandle | None = None
        self._queues: dict[str, WaiterQueue] = {}
        self._directory.on_change.append(self.changed.notify)
        self._loads.on_remote.append(self.changed.notify)
        self._suspects.on_quarantined.append(self.changed.notify)

    async def choose(
        self, job: Job, now: float
    ) -> tuple[Replica, InFlightRequest]:
        """Return a replica for a request, and its entry for the load table.

        Waits for a replica if none is free; ``now`` is in seconds. Raises
        ``RequestRefusedError`` when none gets free in time.
        """
        with self._enqueue(job) as (queue, waiter):
            queue.urgent_work.note(job.route.objective_s, now)
            self._assign_places(queue, now)
            assignment = waiter.assignment or await self._wait(queue, waiter)
        return assignment.replica, assignment.in_flight

    def stop(self) -> None:
        """Refuse all requests that wait or would have to, for shutdown."""
        self._is_stopping = True
        self.changed.notify()

    def note_ended(self, job: Job, elapsed_s: float) -> None:
        """Record that a request that ran has left its place."""
        queue = self._queues.get(job.service.name)
        if queue is not None:
            queue.service_time.note(elapsed_s, self._directory.now())

    def note_missing(self, replica: Replica, job: Job) -> None:
        """Record that a replica refused a target that it doesn't hold."""
        self._finder.note_missing(replica, job.target, self._directory.now())

    def _make_in_flight(self, job: Job, replica: Replica) -> InFlightRequest:
        facts = job.facts
        now = self._directory.now()
        uncached_tokens = self._count_uncached_tokens(job, replica)
        self.work.note_sent(job, replica, now)
        self._prefixes.note(replica.name, job.blocks, now)
        return InFlightRequest(
            job.target,
            uncached_tokens,
            facts.prompt_tokens + facts.output_tokens,
        )

    def _count_uncached_tokens(self, job: Job, replica: Replica) -> int:
        """Return how many prompt tokens a replica presumably has to process."""
        cached_tokens = self._count_cached_tokens(job, replica)
        return max(0, job.facts.prompt_tokens - cached_tokens)

    def _count_cached_tokens(self, job: Job, replica: Replica) -> int:
        """Return how many prompt tokens a replica has presumably cached."""
        cached_parts = self._prefixes.count_leading(replica.name, job.blocks)
        return sum(part.tokens for part in job.facts.parts[:cached_parts])

    async def _wait(self, queue: WaiterQueue, waiter: Waiter) -> Assignment:
        job = waiter.job
        with self._count_pending() as pending_request:
            while True:
                holders = self._finder.list_holders(job)
                if job.service.engine is not None and not holders:
                    pending_request.count(self._finder.pending_target(job))
                state = WaitState(
                    self._finder.shortest_pause_s(holders),
                    pending_request.is_counted,
                    bool(holders),
                    self._forecast(queue, waiter, holders),
                )
                self._check_wait(job, state)
                await self.changed.wait(state.recheck_s)
                self._assign_places(queue, self._directory.now())
                if waiter.assignment is not None:
                    return waiter.assignment

    def _assign_places(self, queue: WaiterQueue, now: float) -> None:
        """Assign free places to waiting requests, in the order of the queue.

        Does nothing if that was done since the last change. All requests that
        get a place are woken.
        """
        is_recent = now - queue.served_at < _REASSIGN_S
        if queue.seen_changes == self.changed.count and is_recent:
            return
        without_place: set[Hashable] = set()
        counter = AheadCounter(self._finder.list_holders)
        assigned = 0
        for waiter in queue.in_order(now):
            is_late = waiter.queued.slack(now) < 0
            objective_s = waiter.job.route.objective_s
            kind = (waiter.job.requirement, objective_s, is_late)
            if kind not in without_place and self._assign(waiter, now):
                queue.note_served(waiter, now)
                assigned += 1
                continue
            counter.add(waiter, is_late=is_late)
            if not waiter.job.excluded_replicas:
                without_place.add(kind)
        if assigned > 1 or (assigned and queue):
            # At least one of them belongs to another request than this one.
            self.changed.notify()
        queue.seen_changes = self.changed.count
        queue.served_at = now

    def _forecast(
        self, queue: WaiterQueue, waiter: Waiter, holders: Sequence[Replica]
    ) -> QueueForecast | None:
        """Return how long a request is expected to wait for its holders.

        It is renewed only after some time, as its cost grows with the holders.
        """
        now = self._directory.now()
        if now - waiter.forecast_at >= RECHECK_S:
            waiter.forecast = self._make_forecast(queue, waiter, holders, now)
            waiter.forecast_at = now
        return waiter.forecast

    def _make_forecast(
        self,
        queue: WaiterQueue,
        waiter: Waiter,
        holders: Sequence[Replica],
        now: float,
    ) -> QueueForecast | None:
        """Return how long a request is expected to wait for its holders.

        The places that get free are shared with the other gateways. Each is
        expected to get as many as it has requests in flight.
        """
        names = [holder.name for holder in holders]
        local = sum(map(self._loads.count_local, names))
        candidates = [
            attrs.evolve(
                self._make_candidate(waiter.job, holder, now),
                service_s=queue.service_time.mean_s,
            )
            for holder in holders
        ]
        in_flight = sum(candidate.in_flight for candidate in candidates)
        share = (local + 1) / (in_flight + 1)
        wait_s = expected_wait(candidates, waiter.ahead, share)
        if wait_s is None:
            return None
        job = waiter.job
        time_left_s = waiter.queued.time_left(now)
        # The time limit leaves time for the first event after it.
        is_too_long = cannot_meet_deadline(wait_s, (), time_left_s)
        return QueueForecast(
            wait_s,
            spread_retry(wait_s, self._rng.random()),
            waiter.ahead,
            now - queue.service_time.noted_at,
            # The next in line, and a stream that has begun, are not refused.
            is_too_long and waiter.ahead > 0 and not job.runs,
        )

    def _assign(self, waiter: Waiter, now: float) -> bool:
        """Assign a place to a request; return whether there is one."""
        job = waiter.job
        chosen = self._choose_now(job, now)
        if chosen is None:
            return False
        replica = self._directory.replicas[chosen.name]
        in_flight = self._make_in_flight(job, replica)
        waiter.assign(replica, in_flight, self._loads)
        return True

    def _count_pending(self) -> '_PendingRequest':
        return _PendingRequest(self._demand.pending, self._directory.now)

    @contextmanager
    def _enqueue(self, job: Job) -> Iterator[tuple[WaiterQueue, Waiter]]:
        """Queue a request for the replicas of its service in the context."""
        name = job.service.name
        queue = self._queues.setdefault(name, WaiterQueue())
        waiter = queue.add(job, self._directory.now())
        try:
            yield queue, waiter
        except BaseException:
            # Another request can have the place that it was assigned.
            self.changed.notify()
            raise
        finally:
            queue.discard(waiter)
            waiter.release()

    def _check_wait(self, job: Job, state: WaitState) -> None:
        """Raise a refusal if the wait took too long or can't succeed."""
        refusal = (
            refuse_for_shutdown(job)
            if self._is_stopping
            else self._access.find_refusal(job)
            or self._suspects.find_refusal(job)
            or find_wait_refusal(job, state, self._directory)
        )
        if refusal is not None:
            raise RequestRefusedError(refusal)

    def _choose_now(self, job: Job, now: float) -> Candidate | None:
        holders = self._finder.list_holders(job)
        candidates = [
            self._make_candidate(job, replica, now)
            for replica in self._finder.list_open(job, holders)
        ]
        if job.service.engine is not None and job.route.longest_gap_s:
            candidates = self._pace(job, candidates, now)
        # With many gateways, the loads that each of them knows are old. If all
        # of them compared all candidates, they would choose the same one.
        gateways = len(self._directory.peers)
        is_crowded = gateways > _CROWD_FACTOR * len(candidates)
        sampled = _CROWD_SAMPLE if is_crowded else len(candidates)
        return choose_upstream(candidates, self._rng, sampled=sampled)

    def _pace(
        self, job: Job, candidates: list[Candidate], now: float
    ) -> list[Candidate]:
        """Return the candidates whose streams the prompt would not stall.

        All candidates if the request can't wait for one of them, else none.
        """
        undisturbed = [
            candidate
            for candidate in candidates
            if not would_stall_streams(
                candidate.ahead_s,
                candidate.first_token_s - candidate.ahead_s,
                job.route.longest_gap_s,
                candidate.in_flight,
            )
        ]
        if undisturbed or not candidates:
            return undisturbed
        left_s = job.received_at + job.route.objective_s - now
        first_s = min(candidate.first_token_s for candidate in candidates)
        if not can_wait(first_s, left_s):
            return candidates
        self._notify_later()
        return []

    def _notify_later(self) -> None:
        """Let the waiting requests look for a replica again soon."""
        if self._pacing_timer is None:
            loop = asyncio.get_running_loop()
            self._pacing_timer = loop.call_later(
                _PACING_S, self._notify_after_pacing
            )

    def _notify_after_pacing(self) -> None:
        self._pacing_timer = None
        self.changed.notify()

    def _make_candidate(
        self,
        job: Job,
        replica: Replica,
        now: float,
    ) -> Candidate:
        load = self._loads.total(replica.name, now)
        engine = job.service.engine
        max_tolerant = self._tolerant_limit(job, replica, now)
        is_same_zone = replica.zone == self._zone
        work = self.work.estimate(job, replica, now)
        if engine is None:
            return Candidate(
                replica.name,
                load.requests,
                min(replica.slots * _PLAIN_QUEUE_PER_SLOT, max_tolerant),
                zone_distance=int(not is_same_zone),
                failure_share=self._failures.share(replica.name, now),
                is_connected=self._is_connected(replica.incarnation),
                step_s=_PLAIN_STEP_S,
                first_token_s=work.ahead_s + work.work_s,
                ahead_s=work.ahead_s,
            )
        return Candidate(
            replica.name,
            load.requests,
            min(_engine_limit(replica, load, job, engine), max_tolerant),
            zone_distance=int(not is_same_zone),
            failure_share=self._failures.share(replica.name, now),
            is_connected=self._is_connected(replica.incarnation),
            step_s=_STEP_PER_REQUEST_S,
            first_token_s=work.ahead_s + work.work_s,
            ahead_s=work.ahead_s,
        )

    def _tolerant_limit(self, job: Job, replica: Replica, now: float) -> int:
        """Return how many requests a replica may have for one more like this.

        A tolerant request leaves places free for urgent ones. Once it is late,
        it may take them when it is the turn of a late request.
        """
        queue = self._queues[job.service.name]
        queued = job.waiting
        if not queue.urgent_work.is_tolerant(queued.answer_within_s, now):
            return _PLAIN_QUEUE_PER_SLOT * replica.slots
        if queued.slack(now) < 0 and queue.is_turn_of_late:
            return _PLAIN_QUEUE_PER_SLOT * replica.slots
        return tolerant_places(replica.slots)


class _PendingRequest:
    """Counts one request as pending demand while it waits for a load.

    It counts from the first call of ``count`` to the end of the context.
    """

    def __init__(
        self, pending: PendingDemandTable, clock: Callable[[], float]
    ) -> None:
        self._pending = pending
        self._clock = clock
        self._target: PendingTarget | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        failure: BaseException | None,
        _trace: object,
    ) -> None:
        if self._target is None:
            return
        self._pending.end(self._target)
        if isinstance(failure, RequestRefusedError):
            retry_after_s = failure.refusal.retry_after or 0
            self._pending.note_refused(
                self._target, self._clock(), retry_after_s
            )

    @property
    def is_counted(self) -> bool:
        return self._target is not None

    def count(self, target: PendingTarget) -> None:
        if self._target is None:
            self._target = target
            self._pending.begin(target, self._clock())


def _always_connected(_replica: Incarnation) -> bool:
    return True


def _engine_limit(
    replica: Replica, load: LoadReport, job: Job, engine: EngineSpec
) -> int:
    """Return how many requests an engine may have, with this one.

    No further ones if its cache would overflow, because the engine would then
    stop some requests and process their prompts again.
    """
    facts = job.facts
    needed = load.memory_tokens + facts.prompt_tokens + facts.output_tokens
    if load.requests and needed > _USABLE_CACHE_SHARE * engine.cache_tokens:
        return load.requests
    return int(replica.slots * _ENGINE_QUEUE_PER_SLOT)
