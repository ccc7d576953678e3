"""Forwards callers' requests to replicas, with retries where they are safe."""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable
from typing import Final

import structlog

from bramleybeam import platform
from bramleybeam.catalog import HostSettings, Replica, RequestKind
from bramleybeam.decisions import (
    AttemptHistory,
    RetryAttempt,
    StopRetrying,
    decide_retry,
)
from bramleybeam.errors import ErrorKind, Execution, Refusal
from bramleybeam.gateway import _outcomes as outcomes
from bramleybeam.gateway._admission import Admitter
from bramleybeam.gateway._answers import (
    answer_refusal,
    classify_failure,
    describe_outcome,
    forward_failure,
    refuse_unfinished,
)
from bramleybeam.gateway._attempt import Attempt
from bramleybeam.gateway._choose import Chooser
from bramleybeam.gateway._cluster_state import ClusterState
from bramleybeam.gateway._crash_detector import CrashDetector
from bramleybeam.gateway._job import Job, RequestRefusedError
from bramleybeam.gateway._loads import InFlightRequest
from bramleybeam.gateway._metrics import GatewayMetrics
from bramleybeam.gateway._outcome_recorder import OutcomeRecorder
from bramleybeam.gateway._replica_liveness import ReplicaLiveness
from bramleybeam.gateway._reply_observer import ReplyObserver
from bramleybeam.gateway._resumption import Resumption
from bramleybeam.gateway._sync_waiter import SyncWaiter
from bramleybeam.limits import RetryBudgets
from bramleybeam.relay import CallerConnection, ConnectionPool, InboundRequest

# Time after a request's deadline in which the replica's own final answer may
# still arrive.
_FINAL_ANSWER_GRACE_S: Final = 0.1
# Kinds of refusals that are logged with the reason when a key is checked.
_ACCESS_KINDS: Final = frozenset(
    (ErrorKind.UNAUTHENTICATED, ErrorKind.KEYS_OUTDATED)
)
_log = structlog.get_logger('requests')


class Forwarder:
    """The request pipeline.

    Chooses a replica for a request, sends it, retries it after failures and
    logs the outcome.
    """

    def __init__(
        self,
        settings: HostSettings,
        cluster_state: ClusterState,
        chooser: Chooser,
        pool: ConnectionPool,
        rng: random.Random,
        metrics: GatewayMetrics,
    ) -> None:
        """Store the parts of the pipeline.

        ``charge`` is called before each attempt, and raises the refusal of a
        request whose workspace has used its quota.
        """
        self.charge: Callable[[Job], Awaitable[None]] = _charge_nothing
        self._metrics = metrics
        self._cluster_state = cluster_state
        self._directory = cluster_state.directory
        self._chooser = chooser
        self._loads = cluster_state.loads
        self._liveness = ReplicaLiveness(cluster_state.directory)
        self._crashes = CrashDetector(
            cluster_state.directory, cluster_state.suspects, self._liveness
        )
        self._recorder = OutcomeRecorder(cluster_state, chooser, self._crashes)
        self._rng = rng
        self._pool = pool
        self._retries = RetryBudgets(settings)
        self._admitter = Admitter(cluster_state, self._retries, rng)
        self._sync_waiter = SyncWaiter(cluster_state.directory.freshness)
        self._resumption = Resumption(
            cluster_state.directory, self._sync_waiter
        )
        self._ends_at = math.inf

    async def handle(
        self,
        request: InboundRequest,
        connection: CallerConnection,
    ) -> None:
        """Handle one request of a caller and answer it."""
        facts = platform.describe_request(request)
        request_id = facts.request_id if facts else ''
        await self._sync_waiter.wait_while_overdue()
        try:
            job = self._admitter.admit(request, facts, connection)
        except RequestRefusedError as error:
            self._metrics.note_refused('', error.refusal.kind)
            self._log_unadmitted(request_id, error.refusal)
            answer_refusal(request_id, connection, error.refusal)
            return
        try:
            async with asyncio.timeout_at(
                job.deadline_at + _FINAL_ANSWER_GRACE_S
            ):
                await self._deliver(job)
        except RequestRefusedError as error:
            self._refuse(job, error.refusal)
        except TimeoutError:
            refusal = refuse_unfinished(job, ErrorKind.DEADLINE_EXCEEDED)
            self._refuse(job, refusal)
        except asyncio.CancelledError:
            _log.info('caller_left', request=request_id, sends=job.sends)
            raise
        finally:
            if job.charge is not None:
                job.charge.release()
            if job.origin is not None:
                self._directory.origins.note_ended(
                    job.stream_id, is_whole=job.is_delivered
                )

    def apply_settings(self, settings: HostSettings) -> None:
        """Apply changed settings from the next request on."""
        self._retries.apply_settings(settings)

    def end_at(self, ends_at: float) -> None:
        """Take only requests that end before a time in seconds.

        Later attempts of the others are told no more time than is left.
        """
        self._ends_at = ends_at
        self._admitter.end_at(ends_at)

    def stop(self) -> None:
        """Refuse new and waiting requests; those at a replica continue."""
        self._admitter.stop()
        self._chooser.stop()

    def close(self) -> None:
        """Cancel background work, after the last request."""
        self._crashes.close()
        self._liveness.close()

    async def drop_idle(self) -> None:
        """Close idle connections to replicas."""
        self._pool.drop_idle()

    async def _deliver(self, job: Job) -> None:
        await self._resumption.find_origin(job)
        while True:
            now = self._directory.now()
            gateways = len(self._directory.peers)
            self._check_access(job)
            self._check_quarantine(job)
            self._resumption.check(job)
            await self.charge(job)
            if job.sends and not self._retries.take(
                job.service.name, now, gateways
            ):
                raise RequestRefusedError(
                    refuse_unfinished(job, ErrorKind.UPSTREAM_LOST)
                )
            replica, in_flight = await self._chooser.choose(job, now)
            outcome = await self._send(job, replica, in_flight)
            self._recorder.note(job, replica, outcome)
            self._metrics.note_attempt(job.service.name, type(outcome).__name__)
            if isinstance(outcome, outcomes.Delivered):
                self._note_answered(job, replica, outcome)
                return
            self._log_attempt('attempt_failed', job, replica, outcome)
            if isinstance(outcome, outcomes.NotArrived):
                # The key may be the reason; retries would hide that.
                self._check_access(job)
            if not await self._handle_failure(job, outcome):
                return

    def _note_answered(
        self, job: Job, replica: Replica, outcome: outcomes.Delivered
    ) -> None:
        now = self._directory.now()
        job.is_delivered = True
        self._log_attempt('answered', job, replica, outcome)
        self._metrics.note_answered(job, outcome.status, now)
        self._admitter.durations.note(job.route.name, now - job.received_at)
        self._chooser.note_ended(job, now - job.sent_at)

    def _log_unadmitted(self, request_id: str, refusal: Refusal) -> None:
        """Log a refusal at admission, and how old the configuration is.

        Refused keys have a line of their own.
        """
        if refusal.kind in _ACCESS_KINDS:
            return
        _log.warning(
            'refused_at_admission',
            request=request_id,
            kind=refusal.kind,
            status=refusal.status,
            newest_version=self._directory.freshness.newest_version,
            **self._directory.describe_state(),
        )

    def _check_access(self, job: Job) -> None:
        """Raise the refusal of a request whose key was removed."""
        refusal = self._cluster_state.access.find_refusal(job)
        if refusal is not None:
            raise RequestRefusedError(refusal)

    def _check_quarantine(self, job: Job) -> None:
        """Raise the refusal of a request that crashes replicas."""
        refusal = self._cluster_state.suspects.find_refusal(job)
        if refusal is not None:
            raise RequestRefusedError(refusal)

    def _log_attempt(
        self,
        event: str,
        job: Job,
        replica: Replica,
        outcome: outcomes.Outcome,
    ) -> None:
        _log.info(
            event,
            **describe_outcome(job, replica, outcome),
            **self._directory.describe_state(),
        )

    async def _send(
        self,
        job: Job,
        replica: Replica,
        in_flight: InFlightRequest,
    ) -> outcomes.Outcome:
        ends_at = min(job.deadline_at, self._ends_at)
        time_left = ends_at - self._directory.now()
        with self._loads.track(replica.name, in_flight):
            observer = ReplyObserver(
                self._cluster_state, replica, in_flight, job, self._liveness
            )
            attempt = Attempt(job, replica, self._pool, observer)
            outcome = await attempt.run(time_left)
        self._chooser.changed.notify()
        return outcome

    async def _handle_failure(
        self,
        job: Job,
        outcome: outcomes.Outcome,
    ) -> bool:
        """Decide whether to retry a failed attempt.

        Returns ``True`` after the backoff if the request is to be sent again,
        ``False`` if the replica's failure was sent to the caller. Raises the
        refusal in other cases.
        """
        history = self._history(job)
        failure = classify_failure(outcome)
        match decide_retry(failure, history, self._rng):
            case RetryAttempt(wait=wait):
                await asyncio.sleep(wait)
                return True
            case StopRetrying(refusal=refusal):
                if not isinstance(outcome, outcomes.FailedReply):
                    raise RequestRefusedError(refusal)
                self._metrics.note_answered(
                    job, outcome.status, self._directory.now()
                )
                forward_failure(job, outcome)
        return False

    def _history(self, job: Job) -> AttemptHistory:
        now = self._directory.now()
        is_stream = job.route.kind == RequestKind.STREAMING
        is_partly_answered = job.connection.response_started and not is_stream
        return AttemptHistory(
            attempts=job.sends,
            idempotent=job.route.may_repeat,
            started=job.connection.response_started,
            time_left=job.received_at + job.max_queue_wait_s - now,
            may_retry=job.runs < job.route.attempts and not is_partly_answered,
        )

    def _refuse(self, job: Job, original: Refusal) -> None:
        refusal = original
        if job.runs and original.execution == Execution.NOT_RUN:
            # A retry found no replica, but an earlier attempt may have run.
            refusal = refuse_unfinished(job, ErrorKind.UPSTREAM_LOST)
        self._metrics.note_refused(job.route.name, original.kind)
        _log.warning(
            'refused',
            request=job.facts.request_id,
            route=job.route.name,
            kind=original.kind,
            detail=original.message,
            status=refusal.status,
            execution=refusal.execution,
            sends=job.sends,
            model=job.facts.model,
            adapter=job.facts.adapter,
            workspace=job.workspace_name,
            wait_end=job.queue_exit,
            age_s=round(self._directory.now() - job.received_at, 3),
            **self._directory.describe_state(),
        )
        if job.connection.response_started:
            job.connection.abort_response()
            return
        answer_refusal(job.facts.request_id, job.connection, refusal)


async def _charge_nothing(_job: Job) -> None:
    """Charge a request in a deployment without quotas."""
