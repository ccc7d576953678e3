"""Simulates callers, which retry refused requests and abandon slow ones."""

import asyncio
from collections.abc import Mapping
from functools import partial
from typing import Final, cast

import attrs

from bramleybeam import platform
from bramleybeam.catalog import RequestKind, Route, RouteTarget, Service
from bramleybeam.gateway import (
    Chooser,
    ClusterState,
    Job,
    RequestRefusedError,
    engine_priority_of,
)
from bramleybeam.limits import is_latency_tolerant, stream_idle_timeout
from bramleybeam.relay import CallerConnection, InboundRequest
from bramleybeam.simulation._arrivals import Arrival, RequestClass
from bramleybeam.simulation._engine import EngineModel
from bramleybeam.simulation._engine_request import EngineRequest
from bramleybeam.simulation._results import RequestOutcome

# Longest wait before a retry, as a share of the time left to the deadline.
_MAX_RETRY_WAIT_SHARE: Final = 1 / 3
# Attempts at a request, with the retry after a refusal.
_MAX_ATTEMPTS: Final = 2


@attrs.frozen
class _CallResult:
    """The outcome of a request and its times in seconds since it arrived."""

    outcome: str
    assigned_after_s: float = 0
    first_token_s: float = 0


class Callers:
    """Sends requests to the engines that a chooser selects.

    ``outcomes`` lists the finished requests. ``warmup_s`` is the loop time in
    seconds at which the day starts.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        chooser: Chooser,
        engines: Mapping[str, EngineModel],
        service: Service,
        warmup_s: float,
    ) -> None:
        """Store the state, the chooser and the engines by replica name."""
        self.outcomes: list[RequestOutcome] = []
        self._demand = cluster_state.demand
        self._loads = cluster_state.loads
        self._chooser = chooser
        self._engines = engines
        self._service = service
        self._warmup_s = warmup_s

    async def call(self, arrival: Arrival) -> None:
        """Send a request, retry it once after a refusal, record its outcome.

        The retry is left out when its delay takes more than a third of the
        time to the deadline.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline_at = started_at + arrival.request_class.deadline_s
        call_result = _CallResult('refused')
        for _ in range(_MAX_ATTEMPTS):
            try:
                call_result = await self._attempt(
                    arrival, started_at, deadline_at
                )
                break
            except RequestRefusedError as error:
                retry_after_s = error.refusal.retry_after or 0
                if (
                    retry_after_s
                    > (deadline_at - loop.time()) * _MAX_RETRY_WAIT_SHARE
                ):
                    break
                await asyncio.sleep(retry_after_s)
        request_class = arrival.request_class
        value = {
            'in_time': request_class.value,
            'late': request_class.late_value,
        }.get(call_result.outcome, 0)
        self.outcomes.append(
            RequestOutcome(
                request_class.name,
                arrival.model,
                arrival.adapter,
                started_at - self._warmup_s,
                call_result.outcome,
                value,
                request_class.value,
                call_result.assigned_after_s,
                call_result.first_token_s,
            ),
        )

    async def _attempt(
        self,
        arrival: Arrival,
        started_at: float,
        deadline_at: float,
    ) -> _CallResult:
        """Make one attempt; raise ``RequestRefusedError`` on a refusal.

        When the engine of the chosen replica no longer holds the model or
        adapter, another replica is chosen.
        """
        loop = asyncio.get_running_loop()
        request_class = arrival.request_class
        job = self._make_job(arrival, deadline_at)
        self._demand.note_request(
            job.target,
            job.facts.prompt_tokens,
            loop.time(),
            is_latency_tolerant=is_latency_tolerant(job.route),
        )
        while True:
            replica, in_flight = await self._chooser.choose(job, loop.time())
            assigned_after_s = loop.time() - started_at
            request = EngineRequest(
                job.target,
                arrival.prompt_parts,
                arrival.output_tokens,
                engine_priority_of(job) or 0,
                partial(self._loads.note_prefill_done, replica.name, in_flight),
            )
            with self._loads.track(replica.name, in_flight):
                if self._engines[replica.name].submit(request):
                    is_complete = await self._wait_for_end(
                        request, replica.name, job
                    )
                    break
            self._chooser.note_missing(replica, job)
        self._chooser.changed.notify()
        if is_complete:
            self._chooser.note_ended(
                job, loop.time() - started_at - assigned_after_s
            )
            self._demand.pending.note_served(job.target, loop.time())
        if not is_complete:
            return _CallResult('failed', assigned_after_s)
        first_token_s = request.first_token_at - started_at
        in_time = first_token_s <= request_class.objective_s
        if in_time and request.longest_gap_s <= request_class.longest_gap_s:
            return _CallResult('in_time', assigned_after_s, first_token_s)
        return _CallResult('late', assigned_after_s, first_token_s)

    async def _wait_for_end(
        self, request: EngineRequest, name: str, job: Job
    ) -> bool:
        """Return whether a request completes before its caller abandons it.

        The caller waits for the first token until the idle timeout of the
        stream, and for the rest until the deadline.
        """
        loop = asyncio.get_running_loop()
        abandons_at = job.received_at + stream_idle_timeout(job.route)
        done, _ = await asyncio.wait(
            [request.ended], timeout=max(0, abandons_at - loop.time())
        )
        if not done and request.generated_tokens:
            remaining_s = job.deadline_at - loop.time()
            done, _ = await asyncio.wait(
                [request.ended], timeout=max(0, remaining_s)
            )
        if not done:
            self._engines[name].abort(request)
            return False
        return request.ended.result()

    def _make_job(self, arrival: Arrival, deadline_at: float) -> Job:
        now = asyncio.get_running_loop().time()
        facts = platform.RequestFacts(
            'simulated',
            deadline_at - now,
            arrival.model,
            arrival.adapter,
            sum(tokens for _, tokens in arrival.prompt_parts),
            arrival.output_tokens,
            tuple(
                platform.PromptPart(name, tokens)
                for name, tokens in arrival.prompt_parts
            ),
        )
        return Job(
            InboundRequest(b'POST', b'/', (), b'', now),
            facts,
            make_route(arrival.request_class, self._service.name),
            self._service,
            cast('CallerConnection', None),
            deadline_at,
        )


def make_route(request_class: RequestClass, service: str) -> Route:
    """Return a streaming route with the objectives of a request class."""
    return Route(
        request_class.name,
        'host',
        '/',
        RequestKind.STREAMING,
        (RouteTarget(service, 1),),
        request_class.deadline_s,
        request_class.objective_s,
        request_class.priority,
        longest_gap_s=request_class.longest_gap_s,
    )
