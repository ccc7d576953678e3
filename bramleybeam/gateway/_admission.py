"""Matches callers' requests to routes, or refuses them."""

import math
import random
from typing import Final

from bramleybeam import platform
from bramleybeam.catalog import Route, RoutingConfiguration, Service
from bramleybeam.errors import ErrorKind, Refusal, refuse
from bramleybeam.gateway._cluster_state import ClusterState
from bramleybeam.gateway._freshness import SyncState
from bramleybeam.gateway._job import Job, RequestRefusedError
from bramleybeam.limits import (
    AnswerDurations,
    RetryBudgets,
    is_latency_tolerant,
)
from bramleybeam.relay import CallerConnection, InboundRequest

# Retry-After while the configuration is missing or stale.
_RETRY_AFTER_S: Final = 0.5
# Retry-After while this process shuts down.
_SHUTDOWN_RETRY_AFTER_S: Final = 0.1


class Admitter:
    """Makes the state of each request, and counts it as demand."""

    def __init__(
        self,
        cluster_state: ClusterState,
        retries: RetryBudgets,
        rng: random.Random,
    ) -> None:
        """Store the tables; ``rng`` draws among the services of a route."""
        self._is_stopping = False
        self._ends_at = math.inf
        self.durations = AnswerDurations()
        self._directory = cluster_state.directory
        self._access = cluster_state.access
        self._demand = cluster_state.demand
        self._retries = retries
        self._rng = rng

    def end_at(self, ends_at: float) -> None:
        """Take only requests that end before a time in seconds."""
        self._ends_at = ends_at

    def stop(self) -> None:
        """Refuse all new requests, for shutdown."""
        self._is_stopping = True

    def admit(
        self,
        request: InboundRequest,
        facts: platform.RequestFacts | None,
        connection: CallerConnection,
    ) -> Job:
        """Return the request's state; raises ``RequestRefusedError``.

        ``facts`` are those in its headers, ``None`` without a request id.
        """
        configuration = self._require_configuration()
        route = configuration.match(request.host, request.path)
        if route is None:
            raise RequestRefusedError(self._refuse_unknown(request.path))
        if facts is None:
            raise RequestRefusedError(
                refuse(ErrorKind.INVALID_REQUEST, 'The request id is missing.'),
            )
        workspace = self._access.admit(configuration, route, facts)
        service = configuration.services.get(self._pick_service(route))
        if service is None:
            raise RequestRefusedError(
                refuse(ErrorKind.NO_READY_UPSTREAM, retry_after=_RETRY_AFTER_S),
            )
        job = self._make_job(request, facts, route, service, connection)
        job.workspace = workspace
        job.hides_keys = configuration.requires_keys
        job.checked_version = configuration.version
        self._check_end(job)
        self._count(job)
        return job

    def _check_end(self, job: Job) -> None:
        """Raise the refusal of a request that would outlast this process."""
        if self._ends_at == math.inf:
            return
        time_left_s = self._ends_at - job.received_at
        time_limit_s = job.deadline_at - job.received_at
        if not self.durations.ends_within(
            job.route.name, time_limit_s, time_left_s
        ):
            raise RequestRefusedError(_refuse_for_shutdown())
        job.deadline_at = min(job.deadline_at, self._ends_at)

    def _refuse_unknown(self, path: str) -> Refusal:
        """Return the refusal for a path without a route.

        It is retryable while this gateway may lag behind, because its
        configuration may be missing the route.
        """
        if not self._directory.freshness.has_newest_configuration:
            self._directory.freshness.request_read()
            return refuse(ErrorKind.NOT_CONFIGURED, retry_after=_RETRY_AFTER_S)
        return refuse(ErrorKind.UNKNOWN_SERVICE, path)

    def _require_configuration(self) -> RoutingConfiguration:
        """Return the configuration; raises if requests can't be handled now."""
        if self._is_stopping:
            raise RequestRefusedError(_refuse_for_shutdown())
        directory = self._directory
        directory.freshness.note_activity()
        configuration = directory.configuration
        is_overdue = directory.freshness.sync_state == SyncState.OVERDUE
        if configuration is None or not directory.has_listing or is_overdue:
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
        return Job(
            request,
            facts,
            route,
            service,
            connection,
            request.received_at + time_limit_s,
            last_event=facts.last_event,
        )

    def _count(self, job: Job) -> None:
        """Count a request as demand."""
        now = self._directory.now()
        self._retries.note_request(job.service.name, now)
        if job.facts.model:
            self._demand.note_request(
                job.target,
                job.facts.prompt_tokens,
                now,
                is_latency_tolerant=is_latency_tolerant(job.route),
            )

    def _pick_service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        names = [target.service for target in route.targets]
        weights = [target.weight for target in route.targets]
        return self._rng.choices(names, weights)[0]


def _refuse_for_shutdown() -> Refusal:
    return refuse(ErrorKind.SHUTTING_DOWN, retry_after=_SHUTDOWN_RETRY_AFTER_S)
