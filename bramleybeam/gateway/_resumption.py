"""Decides where a stream that a caller has received in part may go on."""

from contextlib import suppress
from typing import Final

import attrs
import structlog

from bramleybeam.catalog import RequestKind
from bramleybeam.errors import ErrorKind, refuse
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._freshness import SyncState
from bramleybeam.gateway._job import Job, RequestRefusedError
from bramleybeam.gateway._stream_origins import StreamOrigin
from bramleybeam.gateway._sync_waiter import SyncWaiter
from bramleybeam.timers import running_timeout

# Longest wait in seconds for the record of another gateway.
_LOOKUP_S: Final = 1.0
# Retry-After of a stream whose origin isn't known here yet.
_RETRY_AFTER_S: Final = 0.5
_log = structlog.get_logger('resumption')


@attrs.frozen
class Resumption:
    """Finds the software that began a stream, and refuses any other."""

    directory: Directory
    sync_waiter: SyncWaiter

    async def find_origin(self, job: Job) -> None:
        """Set the origin of a stream that the caller resumes.

        Waits a little if only another gateway knows it, or if another version may
        have come into service. Raises the refusal of a stream whose origin stays
        unknown.
        """
        is_stream = job.route.kind == RequestKind.STREAMING
        if not is_stream or not job.facts.last_event:
            return
        origin = await self._find_or_wait(job)
        if origin is None:
            _log.warning(
                'origin_unknown',
                request=job.facts.request_id,
                resumed=job.facts.resumed_id,
                service=job.service.name,
            )
            raise RequestRefusedError(
                refuse(
                    ErrorKind.NO_READY_UPSTREAM,
                    'It is not known here which software began the stream.',
                    retry_after=_RETRY_AFTER_S,
                )
            )
        job.origin = origin
        self.directory.origins.note_begun(job.stream_id, origin)

    def check(self, job: Job) -> None:
        """Raise the refusal of a stream that no replica can go on with."""
        origin = job.origin
        if origin is None or any(
            replica.software_version == origin.version
            for replica in self.directory.replicas_of(origin.service)
        ):
            return
        raise RequestRefusedError(
            refuse(
                ErrorKind.NO_READY_UPSTREAM,
                'The software that began the stream is not in service any more.',
                retry_after=_RETRY_AFTER_S,
            )
        )

    async def _find_or_wait(self, job: Job) -> StreamOrigin | None:
        """Return the origin; wait for reads of the store if it is unknown."""
        freshness = self.directory.freshness
        asked_at = freshness.now()
        with suppress(TimeoutError):
            async with running_timeout(_LOOKUP_S):
                while True:
                    origin = self._look_up(job, asked_at)
                    is_away = freshness.sync_state == SyncState.STORE_AWAY
                    if origin is not None or is_away:
                        return origin
                    await self.sync_waiter.wait_for_call()
        return None

    def _look_up(self, job: Job, asked_at: float) -> StreamOrigin | None:
        """Return the origin of a stream, if its route still allows the service.

        Of several services of a route, the one that began the stream is chosen.
        ``asked_at`` is when the caller resumed it.
        """
        origins = self.directory.origins
        found = origins.find(job.facts.resumed_id)
        if found is not None:
            return found if self._choose_service(job, found.service) else None
        if not self.directory.freshness.has_synced_since(asked_at):
            # Another gateway may have begun the stream on a version that is not
            # listed here yet.
            return None
        service = job.service.name
        versions = origins.list_versions(
            service, self.directory.replicas.values()
        )
        if len(versions) == 1:
            return StreamOrigin(service, versions.pop())
        return None

    def _choose_service(self, job: Job, name: str) -> bool:
        """Let a service of the route serve a request; return whether it may."""
        configuration = self.directory.configuration
        targets = {target.service for target in job.route.targets}
        if configuration is None or name not in targets:
            return False
        service = configuration.services.get(name)
        if service is None:
            return False
        job.service = service
        return True
