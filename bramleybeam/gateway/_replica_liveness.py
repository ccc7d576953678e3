"""Finds out whether replicas live after their connections ended.

A connection that ends in order may end a whole answer, or have been closed by
the system because the replica is gone. Only what is seen of the replica after
that end tells them apart.
"""

import asyncio
from typing import Final

import structlog

from bramleybeam.catalog import Replica
from bramleybeam.gateway._directory import Directory
from bramleybeam.limits import Incarnation
from bramleybeam.relay import SETTLE_S, Liveness, Observation, observe_peer
from bramleybeam.timers import TaskSet

# Time for which an observation that a replica is gone is used, as its connections
# may be found to have ended one after the other.
_REUSE_S: Final = 1.0
_log = structlog.get_logger('crashes')


class ReplicaLiveness:
    """Observes replicas, each by one connection at a time."""

    def __init__(self, directory: Directory) -> None:
        """Store the directory, which learns of replicas that are gone."""
        self._directory = directory
        self._tasks = TaskSet()
        self._observations: dict[Incarnation, asyncio.Future[Observation]] = {}

    async def check(self, replica: Replica) -> Liveness:
        """Return whether a replica lives, of which a connection just ended.

        A replica that was seen before the end of the connection is observed
        again. One that starts again meanwhile is gone.
        """
        ended_at = asyncio.get_running_loop().time()
        while True:
            observation = await asyncio.shield(self._find_or_begin(replica))
            if observation.liveness != Liveness.ALIVE:
                return observation.liveness
            if observation.seen_at >= ended_at + SETTLE_S / 2:
                return self._check_incarnation(replica)

    def close(self) -> None:
        """Cancel the observations."""
        self._tasks.cancel()

    def _check_incarnation(self, replica: Replica) -> Liveness:
        """Return whether a replica that accepts connections is still the same."""
        listed = self._directory.replicas.get(replica.name)
        if listed is not None and listed.started_ms != replica.started_ms:
            return Liveness.GONE
        return Liveness.ALIVE

    def _find_or_begin(self, replica: Replica) -> asyncio.Future[Observation]:
        observation = self._observations.get(replica.incarnation)
        if observation is None:
            observation = asyncio.get_running_loop().create_future()
            self._observations[replica.incarnation] = observation
            self._tasks.spawn(self._observe(replica, observation))
        return observation

    async def _observe(
        self, replica: Replica, outcome: asyncio.Future[Observation]
    ) -> None:
        try:
            await self._finish(replica, outcome)
        finally:
            self._observations.pop(replica.incarnation, None)
            outcome.cancel()

    async def _finish(
        self, replica: Replica, outcome: asyncio.Future[Observation]
    ) -> None:
        """Set the outcome, and keep it if the replica is gone."""
        observation = await observe_peer(replica.address)
        outcome.set_result(observation)
        match observation:
            case Observation(liveness=Liveness.GONE):
                self._directory.reachability.note_unreachable(replica.name)
                await asyncio.sleep(_REUSE_S)
            case Observation(liveness=Liveness.UNCLEAR, error=error):
                _log.info('crash_unclear', replica=replica.name, error=error)
