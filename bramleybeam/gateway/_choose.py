"""Chooses the replica of a request, waiting in order of slack for room."""

import random
from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final, Self

from bramleybeam.catalog import Replica
from bramleybeam.decisions import (
    Candidate,
    PrefixHistory,
    QueuedRequest,
    choose_upstream,
    is_next,
)
from bramleybeam.errors import ErrorKind, Refusal, refuse
from bramleybeam.gateway._change_notifier import ChangeNotifier
from bramleybeam.gateway._cluster_state import ClusterState
from bramleybeam.gateway._job import Job, QueueExitReason, RequestRefusedError
from bramleybeam.gateway._loads import InFlightRequest
from bramleybeam.gateway._pending_demand import PendingDemandTable
from bramleybeam.orders import PREFILL_TOKENS_PER_S, Target

_WAIT_STEP_S: Final = 0.25
# Time that each request in a batch adds to everyone's next token.
_STEP_PER_REQUEST_S: Final = 0.0004
# Requests in a plain service's queue for each that it runs.
_PLAIN_QUEUE_SHARE: Final = 2
_RETRY_AFTER_S: Final = 1.0
# Time after which a planner is expected to be there again.
_NO_PLANNER_S: Final = 2.5
# Time after a model's expected arrival at which callers are asked to return.
_ARRIVAL_MARGIN_S: Final = 0.2
_PLAIN_RETRY_AFTER_S: Final = 0.1
_MISSING_S: Final = 1.0


class Chooser:
    """Finds a replica that holds what a request needs and has room."""

    def __init__(
        self,
        cluster_state: ClusterState,
        zone: str,
        rng: random.Random,
    ) -> None:
        """Store what is known of replicas and their work."""
        self.changed = ChangeNotifier()
        self._is_stopping = False
        self._directory = cluster_state.directory
        self._loads = cluster_state.loads
        self._demand = cluster_state.demand
        self._zone = zone
        self._rng = rng
        self._prefixes = PrefixHistory()
        self._rooms: dict[Target, list[QueuedRequest]] = defaultdict(list)
        self._missing: dict[tuple[str, Target], float] = {}
        self._directory.on_change.append(self.changed.notify)

    async def choose(
        self, job: Job, now: float
    ) -> tuple[Replica, InFlightRequest]:
        """Wait for a replica.

        Raises ``RequestRefusedError`` when there is none.
        """
        chosen = self._try_choose(job, now)
        if chosen is None:
            chosen = await self._wait(job)
        replica = self._directory.replicas[chosen.name]
        return replica, self._make_work(job, replica)

    def stop(self) -> None:
        """Refuse what waits, and what would have to: this process ends."""
        self._is_stopping = True
        self.changed.notify()

    def note_missing(
        self, replica: Replica, target: Target, now: float
    ) -> None:
        """Remember that a replica said that it doesn't hold a target."""
        self._missing[replica.name, target] = now + _MISSING_S

    def _make_work(self, job: Job, replica: Replica) -> InFlightRequest:
        facts = job.facts
        unread = max(0, facts.prompt_tokens - self._count_kept(job, replica))
        self._prefixes.note(replica.name, job.blocks, self._directory.now())
        return InFlightRequest(job.target, unread)

    def _count_kept(self, job: Job, replica: Replica) -> int:
        """Count the prompt tokens that a replica is believed to keep."""
        known = self._prefixes.count_leading(replica.name, job.blocks)
        return sum(part.tokens for part in job.facts.parts[:known])

    async def _wait(self, job: Job) -> Candidate:
        with self._in_room(job) as (room, mine), self._absence() as gone:
            while True:
                if self._is_absent(job):
                    gone.note(job.target)
                self._check_patience(job, is_absent=gone.is_noted)
                await self.changed.wait(_WAIT_STEP_S)
                now = self._directory.now()
                if is_next(mine, room, now):
                    chosen = self._try_choose(job, now)
                    if chosen is not None:
                        return chosen

    def _absence(self) -> '_Absence':
        return _Absence(self._demand.pending, self._directory.now)

    @contextmanager
    def _in_room(
        self, job: Job
    ) -> Iterator[tuple[list[QueuedRequest], QueuedRequest]]:
        """Keep a request among those that wait for the same target."""
        room = self._rooms[job.target]
        mine = job.waiting
        room.append(mine)
        try:
            yield room, mine
        finally:
            self._leave_room(job.target, mine)

    def _leave_room(self, target: Target, mine: QueuedRequest) -> None:
        room = self._rooms[target]
        room.remove(mine)
        if not room:
            self._rooms.pop(target)
        self.changed.notify()

    def _check_patience(self, job: Job, *, is_absent: bool) -> None:
        """Refuse when waiting has lasted too long or can't help."""
        refusal = self._judge_wait(job, is_absent=is_absent)
        if refusal is not None:
            raise RequestRefusedError(refusal)

    def _judge_wait(self, job: Job, *, is_absent: bool) -> Refusal | None:
        if self._is_stopping:
            job.queue_exit = QueueExitReason.STOPPING
            return refuse(
                ErrorKind.SHUTTING_DOWN,
                retry_after=_PLAIN_RETRY_AFTER_S,
            )
        left = job.received_at + job.max_queue_wait_s - self._directory.now()
        if is_absent and not self._directory.placement.has_live_planner:
            job.queue_exit = QueueExitReason.NO_PLANNER
            return _refuse(job, _NO_PLANNER_S)
        arrival = self._directory.placement.arrival_in(job.facts.model)
        if is_absent and arrival is not None and arrival > left:
            job.queue_exit = QueueExitReason.ARRIVES_LATER
            return _refuse(job, arrival + _ARRIVAL_MARGIN_S)
        if left > 0:
            return None
        job.queue_exit = QueueExitReason.WAITED_LONG
        return _refuse(job)

    def _is_absent(self, job: Job) -> bool:
        """Whether no replica holds what a request needs."""
        return job.service.engine is not None and not self._holders(job)

    def _try_choose(self, job: Job, now: float) -> Candidate | None:
        holders = self._holders(job)
        fresh = [
            one for one in holders if one.name not in job.excluded_replicas
        ]
        candidates = [
            self._candidate(job, replica, now) for replica in fresh or holders
        ]
        return choose_upstream(candidates, self._rng, sampled=len(candidates))

    def _holders(self, job: Job) -> list[Replica]:
        now = self._directory.now()
        holders = [
            replica
            for replica in self._directory.replicas_of(job.service.name)
            if self._holds(replica, job.target, now)
        ]
        return [
            replica
            for replica in holders
            if not self._directory.reachability.is_backing_off(replica.name)
        ]

    def _holds(self, replica: Replica, target: Target, now: float) -> bool:
        until = self._missing.get((replica.name, target))
        if until is not None:
            if now < until:
                return False
            self._missing.pop((replica.name, target))
        model, adapter = target
        if not model:
            return True
        placed = self._directory.placement_of(replica)
        adapters = placed.holdings.models.get(model)
        if adapters is None or model == placed.evicting_model:
            return False
        return not adapter or adapter in adapters

    def _candidate(
        self,
        job: Job,
        replica: Replica,
        now: float,
    ) -> Candidate:
        load = self._loads.total(replica.name, now)
        engine = job.service.engine
        is_near = replica.zone == self._zone
        if engine is None:
            return Candidate(
                replica.name,
                load.requests,
                replica.slots * _PLAIN_QUEUE_SHARE,
                zone_distance=int(not is_near),
            )
        unread = load.unread_tokens + job.facts.prompt_tokens
        unread -= self._count_kept(job, replica)
        return Candidate(
            replica.name,
            load.requests,
            replica.slots,
            zone_distance=int(not is_near),
            step_s=_STEP_PER_REQUEST_S,
            first_token_s=unread / PREFILL_TOKENS_PER_S,
        )


class _Absence:
    """Counts a request as waiting for a load, once, while it waits."""

    def __init__(
        self, pending: PendingDemandTable, clock: Callable[[], float]
    ) -> None:
        self._pending = pending
        self._clock = clock
        self._target: Target | None = None

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
            again_s = failure.refusal.retry_after or 0
            self._pending.note_refused(self._target, self._clock(), again_s)

    @property
    def is_noted(self) -> bool:
        return self._target is not None

    def note(self, target: Target) -> None:
        if self._target is None:
            self._target = target
            self._pending.begin(target, self._clock())


def _refuse(job: Job, retry_after: float = _RETRY_AFTER_S) -> Refusal:
    if job.service.engine is None:
        return refuse(
            ErrorKind.TARGET_UNREACHABLE,
            retry_after=_PLAIN_RETRY_AFTER_S,
        )
    return refuse(
        ErrorKind.NO_READY_UPSTREAM,
        f'Asked: {job.facts.model} {job.facts.adapter}.',
        retry_after=retry_after,
    )
