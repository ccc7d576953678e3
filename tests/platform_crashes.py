"""Replicas that crash on certain requests, and are replaced after a while."""

import asyncio
from contextlib import asynccontextmanager, suppress

import attrs

from tests.platform_fleet import Fleet
from tests.platform_replica import ReplicaStandIn

# Time after a crash at which the replacement of the replica starts.
RESTART_S = 0.3
_CHECK_S = 0.02


@attrs.define(eq=False)
class CrashingReplicas:
    """Replaces each replica that crashes by one with a new name.

    ``crashes`` are the ids of the requests that crashed a replica, ``arrivals``
    those that a replica ran, if ``is_poisoned`` returns true for their path and
    headers. ``fleet`` holds the replicas.
    """

    fleet: Fleet
    is_poisoned: object
    events_before_crash: int = 0
    crashes: list = attrs.field(factory=list)
    _known: dict = attrs.field(factory=dict)
    _started: int = 0
    _tasks: set = attrs.field(factory=set)

    @property
    def arrivals(self) -> list:
        """The ids of poisoned requests that replicas have run, in order."""
        runs = [
            run
            for replica in self._known.values()
            for run in replica.runs
            if self.is_poisoned(run.path, run.headers)
        ]
        runs.sort(key=lambda run: run.began_at)
        return [run.request_id for run in runs]

    def arm(self, replica: ReplicaStandIn) -> None:
        """Let a replica crash on poisoned requests."""
        replica.crashes_on = self._check
        self._known[replica.name] = replica

    async def replace_crashed(self) -> None:
        """Replace crashed replicas until cancelled."""
        while True:
            for replica in tuple(self.fleet.replicas.values()):
                if replica.has_crashed:
                    self.fleet.replicas.pop(replica.name)
                    asyncio.get_running_loop().call_later(
                        RESTART_S, self._replace, replica
                    )
            await asyncio.sleep(_CHECK_S)

    def _check(self, run) -> bool:
        if not self.is_poisoned(run.path, run.headers):
            return False
        self.crashes.append(run.request_id)
        return True

    def _replace(self, crashed: ReplicaStandIn) -> None:
        self._started += 1
        replacement = ReplicaStandIn(
            f'{crashed.name[:2]}-{self._started}',
            crashed.service,
            models=dict(crashed.models),
            events_before_crash=self.events_before_crash,
        )
        self.arm(replacement)
        self.fleet.store.remove(f'servers/{crashed.name}')
        task = asyncio.create_task(self.fleet.add(replacement))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


@asynccontextmanager
async def replacing_crashed(fleet, is_poisoned):
    """Let the replicas of a fleet crash on poisoned requests in the context."""
    crashing = CrashingReplicas(fleet, is_poisoned)
    for replica in fleet.replicas.values():
        crashing.arm(replica)
    replacer = asyncio.create_task(crashing.replace_crashed())
    try:
        yield crashing
    finally:
        replacer.cancel()
        with suppress(asyncio.CancelledError):
            await replacer
