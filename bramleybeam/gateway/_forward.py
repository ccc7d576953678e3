"""Forwards callers' requests to replicas, with retries where they are safe."""

import asyncio
import random
from typing import Final

import structlog

from bramleybeam import platform
from bramleybeam.catalog import (
    HostSettings,
    Replica,
    RequestKind,
    Route,
    RoutingConfiguration,
    Service,
)
from bramleybeam.decisions import (
    AttemptHistory,
    RetryAttempt,
    StopRetrying,
    decide_retry,
)
from bramleybeam.errors import ErrorKind, Execution, Refusal, refuse
from bramleybeam.gateway import _attempt as outcomes
from bramleybeam.gateway._answers import (
    answer_refusal,
    describe_outcome,
    classify_failure,
    forward_failure,
    refuse_unfinished,
)
from bramleybeam.gateway._choose import Chooser
from bramleybeam.gateway._cluster_state import ClusterState
from bramleybeam.gateway._job import Job, RequestRefusedError
from bramleybeam.gateway._loads import InFlightRequest
from bramleybeam.gateway._metrics import GatewayMetrics
from bramleybeam.gateway._outcome_recorder import OutcomeRecorder
from bramleybeam.gateway._reply_observer import ReplyObserver
from bramleybeam.limits import RetryBudget, is_latency_tolerant
from bramleybeam.relay import CallerConnection, ConnectionPool, InboundRequest

# Time after a request's deadline in which the replica's own final answer may
# still arrive.
_FINAL_ANSWER_GRACE_S: Final = 0.1
# Retry-After while the configuration is missing or stale.
_RETRY_AFTER_S: Final = 0.5
# Retry-After while this process shuts down.
_SHUTDOWN_RETRY_AFTER_S: Final = 0.1
_log = structlog.get_logger('requests')


class Forwarder:
    """The request pipeline.

    Matches a request to a route, chooses a replica, sends the request, retries
    it after failures and logs the outcome.
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
        """Store the parts of the pipeline."""
        self._metrics = metrics
        self._is_stopping = False
        self._settings = settings
        self._cluster_state = cluster_state
        self._directory = cluster_state.directory
        self._chooser = chooser
        self._loads = cluster_state.loads
        self._demand = cluster_state.demand
        self._recorder = OutcomeRecorder(cluster_state, chooser)
        self._rng = rng
        self._pool = pool
        self._budgets: dict[str, RetryBudget] = {}

    async def handle(
        self,
        request: InboundRequest,
        connection: CallerConnection,
    ) -> None:
        """Handle one request of a caller and answer it."""
        facts = platform.describe_request(request)
        request_id = facts.request_id if facts else ''
        try:
            job = self._admit(request, facts, connection)
        except RequestRefusedError as error:
            self._metrics.note_refused('', error.refusal.kind)
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

    def apply_settings(self, settings: HostSettings) -> None:
        """Apply changed settings; what was counted for the budgets is kept."""
        self._settings = settings
        for budget in self._budgets.values():
            budget.ratio = settings.retry_ratio
            budget.allowance = settings.retry_allowance
            budget.window_s = settings.bounds.retry_window_s

    def stop(self) -> None:
        """Refuse new and waiting requests; those at a replica continue."""
        self._is_stopping = True
        self._chooser.stop()

    async def drop_idle(self) -> None:
        """Close idle connections to replicas."""
        self._pool.drop_idle()

    def _admit(
        self,
        request: InboundRequest,
        facts: platform.RequestFacts | None,
        connection: CallerConnection,
    ) -> Job:
        configuration = self._require_configuration()
        route = configuration.match(request.host, request.path)
        if route is None:
            raise RequestRefusedError(self._refuse_unknown(request.path))
        if facts is None:
            raise RequestRefusedError(
                refuse(ErrorKind.INVALID_REQUEST, 'The request id is missing.'),
            )
        service = configuration.services.get(self._pick_service(route))
        if service is None:
            raise RequestRefusedError(
                refuse(ErrorKind.NO_READY_UPSTREAM, retry_after=_RETRY_AFTER_S),
            )
        return self._make_job(request, facts, route, service, connection)

    def _refuse_unknown(self, path: str) -> Refusal:
        """Return the refusal for a path without a route.

        It is retryable while this gateway lags behind others, because its
        configuration may be missing the route.
        """
        if self._directory.is_lagging or self._directory.freshness.is_outdated:
            return refuse(ErrorKind.NOT_CONFIGURED, retry_after=_RETRY_AFTER_S)
        return refuse(ErrorKind.UNKNOWN_SERVICE, path)

    def _require_configuration(self) -> RoutingConfiguration:
        """Return the configuration; raises if requests can't be handled now."""
        if self._is_stopping:
            raise RequestRefusedError(
                refuse(
                    ErrorKind.SHUTTING_DOWN, retry_after=_SHUTDOWN_RETRY_AFTER_S
                ),
            )
        configuration = self._directory.configuration
        if configuration is None or not self._directory.has_listing:
            raise RequestRefusedError(
                refuse(ErrorKind.NOT_CONFIGURED, retry_after=_RETRY_AFTER_S),
            )
        return configuration

    def _make_job(
        self,
        request: InboundRequest,
        facts: platform.RequestFacts,
        route: Route,
        service: Service,
        connection: CallerConnection,
    ) -> Job:
        time_limit_s = min(facts.deadline_s, route.timeout_s)
        job = Job(
            request,
            facts,
            route,
            service,
            connection,
            request.received_at + time_limit_s,
            last_event=facts.last_event,
        )
        now = self._directory.now()
        self._budget(service.name).note_request(now)
        if facts.model:
            self._demand.note_request(
                job.target,
                facts.prompt_tokens,
                now,
                is_latency_tolerant=is_latency_tolerant(route),
            )
        return job

    def _pick_service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        names = [target.service for target in route.targets]
        weights = [target.weight for target in route.targets]
        return self._rng.choices(names, weights)[0]

    async def _deliver(self, job: Job) -> None:
        while True:
            now = self._directory.now()
            if job.sends and not self._take_retry(job, now):
                raise RequestRefusedError(
                    refuse_unfinished(job, ErrorKind.UPSTREAM_LOST)
                )
            replica, in_flight = await self._chooser.choose(job, now)
            outcome = await self._send(job, replica, in_flight)
            self._recorder.note(job, replica, outcome)
            self._metrics.note_attempt(job.service.name, type(outcome).__name__)
            if isinstance(outcome, outcomes.Delivered):
                self._log_attempt('answered', job, replica, outcome)
                self._metrics.note_answered(
                    job, outcome.status, self._directory.now()
                )
                return
            self._log_attempt('attempt_failed', job, replica, outcome)
            if not await self._handle_failure(job, outcome):
                return

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
        time_left = job.deadline_at - self._directory.now()
        with self._loads.track(replica.name, in_flight):
            observer = ReplyObserver(
                self._cluster_state, replica, in_flight, job.facts.request_id
            )
            attempt = outcomes.Attempt(job, replica, self._pool, observer)
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

    def _take_retry(self, job: Job, now: float) -> bool:
        gateways = max(1, len(self._directory.peers))
        return self._budget(job.service.name).take(now, gateways)

    def _budget(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(
                self._settings.retry_ratio,
                self._settings.retry_allowance,
                self._settings.bounds.retry_window_s,
            )
        return self._budgets[service]

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
            status=refusal.status,
            execution=refusal.execution,
            sends=job.sends,
            model=job.facts.model,
            adapter=job.facts.adapter,
            wait_end=job.queue_exit,
            age_s=round(self._directory.now() - job.received_at, 3),
            **self._directory.describe_state(),
        )
        if job.connection.response_started:
            job.connection.abort_response()
            return
        answer_refusal(job.facts.request_id, job.connection, refusal)
