"""Requests that crash each replica that runs them, sent to any gateway."""

import asyncio
import random

import attrs

from bramleybeam.relay import BrokenReplyError
from tests.platform_fleet import Fleet
from tests.platform_replica import ReplicaStandIn
from tests.soak.record import CONTACT_S, CallerRequest, Crash, Record

# Time after a crash at which another replica starts.
_RESTART_S = 2.0
# Times that the same request or part is sent, and the pause between.
_REPEATS = 14
_PAUSE_S = 0.5
# Crashes after which a request, and a part of a prompt, must be recognised.
_CRASHES_OF_REQUEST = 3
_CRASHES_OF_PART = 5
# Runs that are allowed after that.
_MAX_LATER_RUNS = 3
_PREFIX = 'poison'


@attrs.define(eq=False)
class CrashingRequests:
    """Sends crashing requests, and replaces the replicas that crash.

    ``key`` is the key of the requests, ``None`` if they need none.
    """

    fleet: Fleet
    record: Record
    rng: random.Random
    key: object = None
    _count: int = 0
    _tasks: set = attrs.field(factory=set)

    def arm(self, replica: ReplicaStandIn) -> None:
        """Let a replica crash on the requests of this object."""

        def crashes(run) -> bool:
            name = find_poison(run.path, run.headers)
            if name:
                self._note_crash(name, replica)
            return bool(name)

        replica.crashes_on = crashes

    async def run(self) -> None:
        """Send one request again and again, then prompts with one part."""
        for kind in ('request', 'part'):
            self._count += 1
            name = f'{_PREFIX}{self._count}{kind}'
            for number in range(_REPEATS):
                await self._send(name, f'{name}-{number}')
                await asyncio.sleep(self.rng.uniform(0, 2 * _PAUSE_S))

    async def wait_replaced(self) -> None:
        """Wait until all crashed replicas were replaced."""
        await asyncio.gather(*self._tasks)

    async def _send(self, name: str, request_id: str) -> None:
        number = self.rng.randrange(len(self.fleet.gateways))
        gateway = self.fleet.gateways[number]
        now = asyncio.get_running_loop().time
        path, method, headers = f'/look/{name}', 'GET', {}
        if name.endswith('part'):
            path, method = f'/ask/{request_id}', 'POST'
            headers = self._prompt_headers(name, request_id)
        request = CallerRequest(request_id, path, number, gateway, now())
        if self.key:
            request.key = self.key
            headers['Authorization'] = f'Bearer {self.key.text}'
        self.record.requests.append(request)
        try:
            async with asyncio.timeout(_REPEATS * _PAUSE_S):
                answer = await gateway.ask_with_id(
                    request_id, path, method, **headers
                )
        except (OSError, TimeoutError, BrokenReplyError):
            request.disconnected_at = now()
        else:
            request.take(answer)
        finally:
            request.ended_at = now()

    def _prompt_headers(self, name: str, request_id: str) -> dict[str, str]:
        held = sorted(
            model
            for replica in self.fleet.replicas.values()
            for model in replica.models
        )
        return {
            'Bramleybeam_Model': self.rng.choice(held or self.fleet.models),
            'Bramleybeam_Token_Counts': '1400,80',
            'Bramleybeam_Prompt_Prefix': f'aa:300,{name}:100,{request_id}:9',
        }

    def _note_crash(self, name: str, replica: ReplicaStandIn) -> None:
        now = asyncio.get_running_loop().time()
        self.record.crashes.append(Crash(name, now))
        self.fleet.replicas.pop(replica.name, None)
        replica.on_models_changed = None
        task = asyncio.create_task(self._replace(replica))
        self._tasks.add(task)

    async def _replace(self, crashed: ReplicaStandIn) -> None:
        await asyncio.sleep(_RESTART_S)
        self.fleet.store.remove(f'servers/{crashed.name}')
        replacement = ReplicaStandIn(
            f'{crashed.name}r',
            crashed.service,
            models=dict(crashed.models),
            echoes=True,
            max_models=crashed.max_models,
            events=crashed.events,
            pause_s=crashed.pause_s,
        )
        self.arm(replacement)
        self.record.replicas.append(replacement)
        await self.fleet.add(replacement)


def find_poison(path: str, headers: dict) -> str:
    """Return the name of what crashes a replica in a request, or nothing."""
    last = path.split('/')[-1]
    if last.startswith(_PREFIX) and '-' not in last:
        return last
    parts = headers.get('bramleybeam-prompt-prefix', '').split(',')
    names = [part.partition(':')[0] for part in parts[:-1]]
    return next((name for name in names if name.startswith(_PREFIX)), '')


def check_crashes(record: Record, runs: dict[str, list]) -> list[str]:
    """Return what ran too often after it had crashed replicas.

    ``runs`` are pairs of a replica and a run by the id of a request.
    """
    violations = []
    names = {crash.name for crash in record.crashes}
    for name in sorted(names):
        times = [crash.at for crash in record.crashes if crash.name == name]
        limit = (
            _CRASHES_OF_PART if name.endswith('part') else _CRASHES_OF_REQUEST
        )
        if len(times) < limit:
            continue
        counts_from = sorted(times)[limit - 1] + CONTACT_S
        repeats = [
            request
            for request in record.requests
            if request.request_id.startswith(f'{name}-')
            and record.is_unaffected(
                request.gateway, request.sent_at, request.ended_at
            )
        ]
        found = [runs.get(request.request_id, []) for request in repeats]
        later = [
            run.request_id
            for pairs in found
            for _, run in pairs
            if run.began_at > counts_from
        ]
        if len(later) > _MAX_LATER_RUNS:
            violations.append(f'crashes: {name} ran again: {later}')
    return violations
