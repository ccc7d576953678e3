"""Reports the requests that were in flight at replicas that crash.

A connection that ends without an answer may have been reset, cut on the way, or
closed by a replica that is leaving. A replica that has crashed refuses new
connections for a while, and then another start listens at its address.
"""

import asyncio
from typing import Final

import attrs
import structlog
import xxhash

from bramleybeam.catalog import Replica, ReplicaState, Service
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._job import Job
from bramleybeam.gateway._replica_liveness import (
    ReplicaLiveness,
    has_successor,
)
from bramleybeam.gateway._suspects import CrashSuspects, LostRequest
from bramleybeam.limits import Incarnation
from bramleybeam.liveness import Liveness
from bramleybeam.timers import TaskSet

# Time after the first event of a stream from which it is not taken for the cause
# of a crash: a replica crashes when it begins an answer, or not because of it.
_ONSET_S: Final = 1.0
# Time within which the entry of a new start is in the store, and how often it is
# looked for.
_LISTING_S: Final = 3.0
_LISTING_CHECK_S: Final = 0.1
_log = structlog.get_logger('crashes')


@attrs.define
class _Check:
    """A check of one replica; ``lost`` are the requests to report next."""

    service: Service
    lost: list[LostRequest] = attrs.field(factory=list)


class CrashDetector:
    """Checks replicas whose connections end before their answers do."""

    def __init__(
        self,
        directory: Directory,
        suspects: CrashSuspects,
        liveness: ReplicaLiveness,
    ) -> None:
        """Store the tables that are read and updated."""
        self._directory = directory
        self._suspects = suspects
        self._liveness = liveness
        self._tasks = TaskSet()
        self._checks: dict[Incarnation, _Check] = {}

    def note_lost(self, job: Job, replica: Replica) -> None:
        """Check a replica whose connection ended before its answer did."""
        now = self._directory.now()
        if job.first_event_at and now - job.first_event_at > _ONSET_S:
            self._suspects.note_sound(job)
            return
        lost = LostRequest(
            job.facts.request_id, job.suspect_keys, job.sent_at, now
        )
        check = self._checks.get(replica.incarnation)
        if check is None:
            check = _Check(job.service)
            self._checks[replica.incarnation] = check
            self._tasks.spawn(self._run(replica, check))
        check.lost.append(lost)

    def close(self) -> None:
        """Cancel the checks."""
        self._tasks.cancel()

    async def _run(self, replica: Replica, check: _Check) -> None:
        try:
            while check.lost:
                await self._report_next(replica, check)
        finally:
            self._checks.pop(replica.incarnation)

    async def _report_next(self, replica: Replica, check: _Check) -> None:
        """Report the requests that were lost until now.

        Those that are lost while the replica is observed are reported with them
        if it has crashed. Otherwise, nothing is known of their connections.
        """
        lost = check.lost
        check.lost = []
        liveness = Liveness.ALIVE
        if not self._is_leaving(replica):
            liveness = await self._liveness.check(replica, check.service)
        if liveness == Liveness.GONE:
            lost.extend(check.lost)
            check.lost = []
            self._report_crash(replica, lost)
            return
        _log.info(
            'answers_lost',
            replica=replica.name,
            requests=[request.request_id for request in lost],
            liveness=liveness,
        )
        if liveness == Liveness.UNCLEAR:
            self._tasks.spawn(self._report_successor(replica, lost))

    async def _report_successor(
        self, replica: Replica, lost: list[LostRequest]
    ) -> None:
        """Report requests once a later start of their replica is listed.

        Nothing else tells two starts of a plain service under one name apart.
        """
        ends_at = self._directory.now() + _LISTING_S
        while self._directory.now() < ends_at:
            await asyncio.sleep(_LISTING_CHECK_S)
            is_over = has_successor(self._directory.replicas, replica)
            if is_over and not self._is_leaving(replica):
                self._report_crash(replica, lost)
                return

    def _report_crash(self, replica: Replica, lost: list[LostRequest]) -> None:
        _log.info(
            'replica_crashed',
            replica=replica.name,
            requests=[request.request_id for request in lost],
        )
        self._suspects.note_crash(_name_crash(replica), lost)

    def _is_leaving(self, replica: Replica) -> bool:
        """Whether a replica ends as planned.

        One that starts again without having announced its end has crashed. An
        entry that is missing may be that of a replica that leaves.
        """
        if self._directory.departures.find(replica):
            return True
        listed = self._directory.replicas.get(replica.name)
        if listed is None:
            return True
        is_same = listed.started_ms == replica.started_ms
        return is_same and listed.state != ReplicaState.READY


def _name_crash(replica: Replica) -> str:
    """Return a short name for the crash of one start of a replica."""
    name, started_ms = replica.incarnation
    return xxhash.xxh32_hexdigest(f'{name} {started_ms}'.encode())
