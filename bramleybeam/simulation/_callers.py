"""Callers: they send requests, come back after a refusal, and leave."""

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
from bramleybeam.simulation._results import RequestOutcome
from bramleybeam.simulation._run import Run

# Part of a caller's time for which it waits before it comes back.
_RETURN_SHARE: Final = 1 / 3
# Times that a caller sends a request, with that after a refusal.
_SENDS: Final = 2


@attrs.frozen
class _End:
    outcome: str
    chosen_s: float = 0
    wait_s: float = 0


class Callers:
    """Sends arrivals through a chooser to engines, as their callers do.

    ``lead_s`` is the loop's time at which the day begins.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        chooser: Chooser,
        engines: Mapping[str, EngineModel],
        service: Service,
        lead_s: float,
    ) -> None:
        """Store what requests are decided from, and where they run."""
        self.served: list[RequestOutcome] = []
        self._demand = cluster_state.demand
        self._loads = cluster_state.loads
        self._chooser = chooser
        self._engines = engines
        self._service = service
        self._lead_s = lead_s

    async def call(self, arrival: Arrival) -> None:
        """Send a request as its caller does, once more after a refusal."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        deadline = began + arrival.request_class.deadline_s
        end = _End('refused')
        for _ in range(_SENDS):
            try:
                end = await self._serve(arrival, began, deadline)
                break
            except RequestRefusedError as refusing:
                again_s = refusing.refusal.retry_after or 0
                if again_s > (deadline - loop.time()) * _RETURN_SHARE:
                    break
                await asyncio.sleep(again_s)
        one = arrival.request_class
        worth = {'in_time': one.worth, 'late': one.late_worth}.get(
            end.outcome, 0
        )
        self.served.append(
            RequestOutcome(
                one.name,
                arrival.model,
                arrival.adapter,
                began - self._lead_s,
                end.outcome,
                worth,
                one.worth,
                end.chosen_s,
                end.wait_s,
            ),
        )

    async def _serve(
        self,
        arrival: Arrival,
        began: float,
        deadline: float,
    ) -> _End:
        loop = asyncio.get_running_loop()
        one = arrival.request_class
        job = self._make_job(arrival, deadline)
        self._demand.note_request(
            job.target,
            job.facts.prompt_tokens,
            loop.time(),
            is_latency_tolerant=is_latency_tolerant(job.route),
        )
        while True:
            replica, work = await self._chooser.choose(job, loop.time())
            chosen_s = loop.time() - began
            run = Run(
                job.target,
                arrival.parts,
                arrival.output_tokens,
                engine_priority_of(job) or 0,
                partial(self._loads.note_prefill_done, replica.name, work),
            )
            with self._loads.track(replica.name, work):
                if self._engines[replica.name].submit(run):
                    is_whole = await self._follow(run, replica.name, job)
                    break
            self._chooser.note_missing(replica, job.target, loop.time())
        self._chooser.changed.notify()
        if is_whole:
            self._demand.pending.note_served(job.target, loop.time())
        if not is_whole:
            return _End('failed', chosen_s)
        wait_s = run.first_at - began
        in_time = wait_s <= one.objective_s
        if in_time and run.longest_gap_s <= one.longest_gap_s:
            return _End('in_time', chosen_s, wait_s)
        return _End('late', chosen_s, wait_s)

    async def _follow(self, run: Run, name: str, job: Job) -> bool:
        """Wait for the end of a run, as long as its caller would."""
        loop = asyncio.get_running_loop()
        leaves_at = job.received_at + stream_idle_timeout(job.route)
        done, _ = await asyncio.wait(
            [run.ended], timeout=max(0, leaves_at - loop.time())
        )
        if not done and run.made:
            left = job.deadline_at - loop.time()
            done, _ = await asyncio.wait([run.ended], timeout=max(0, left))
        if not done:
            self._engines[name].drop(run)
            return False
        return run.ended.result()

    def _make_job(self, arrival: Arrival, deadline: float) -> Job:
        now = asyncio.get_running_loop().time()
        facts = platform.RequestFacts(
            'simulated',
            deadline - now,
            arrival.model,
            arrival.adapter,
            sum(count for _, count in arrival.parts),
            arrival.output_tokens,
            tuple(
                platform.PromptPart(name, count)
                for name, count in arrival.parts
            ),
        )
        return Job(
            InboundRequest(b'POST', b'/', (), b'', now),
            facts,
            make_route(arrival.request_class, self._service.name),
            self._service,
            cast('CallerConnection', None),
            deadline,
        )


def make_route(one: RequestClass, service: str) -> Route:
    """Return the route of a class of requests."""
    return Route(
        one.name,
        'host',
        '/',
        RequestKind.STREAMING,
        (RouteTarget(service, 1),),
        one.deadline_s,
        one.objective_s,
        one.priority,
        longest_gap_s=one.longest_gap_s,
    )
