"""Finds out whether replicas live after their connections ended.

A connection that ends in order may end a whole answer, or have been closed by
the system because the replica is gone. What the replica shows of itself after that
end tells them apart, and what the store lists.
"""

import math
from collections.abc import Mapping
from contextlib import AbstractContextManager

import structlog

from bramleybeam import platform
from bramleybeam.catalog import Replica, Service
from bramleybeam.gateway._directory import Directory
from bramleybeam.liveness import Guard, Liveness, Peer, ProcessObserver

_log = structlog.get_logger('crashes')


class ReplicaLiveness:
    """Observes replicas; tells the directory which of them are unreachable."""

    def __init__(self, directory: Directory) -> None:
        """Store the directory, which lists later starts of replicas."""
        self._directory = directory
        self._observer = ProcessObserver(self._note_gone)

    def guard(
        self,
        replica: Replica,
        service: Service,
        sent_at: float,
        delay_s: float,
    ) -> AbstractContextManager[Guard]:
        """Keep a connection to a replica open until its answer has ended.

        ``sent_at`` is when the request was sent, in seconds by a clock that
        includes suspension. The connection is opened after ``delay_s`` seconds.
        """
        peer = platform.identify_replica(replica, service)
        return self._observer.guard(peer, sent_at, delay_s)

    async def check(
        self,
        replica: Replica,
        service: Service,
        alive_at: float = -math.inf,
        guard: Guard | None = None,
    ) -> Liveness:
        """Return whether a replica lives, of which a connection just ended.

        ``alive_at`` is a time at which it lived for certain, by a clock that
        includes suspension. A replica of which a later start is listed is gone.
        """
        peer = platform.identify_replica(replica, service)
        if has_successor(self._directory.replicas, replica):
            return Liveness.GONE
        liveness = await self._observer.check(peer, alive_at, guard)
        if has_successor(self._directory.replicas, replica):
            return Liveness.GONE
        if liveness == Liveness.UNCLEAR:
            _log.info('crash_unclear', replica=replica.name)
        return liveness

    def close(self) -> None:
        """Cancel the observations."""
        self._observer.close()

    def _note_gone(self, peer: Peer) -> None:
        self._directory.reachability.note_unreachable(peer.identity.name)


def has_successor(replicas: Mapping[str, Replica], replica: Replica) -> bool:
    """Whether a later start is listed under a replica's name or address."""
    listed = replicas.get(replica.name)
    if listed is not None and listed.started_ms != replica.started_ms:
        return True
    return any(
        other.address == replica.address
        and other.started_ms > replica.started_ms
        for other in replicas.values()
    )
