"""Decides where a stream that a caller has received in part may go on."""

from typing import Final

import attrs
import structlog

from bramleybeam.catalog import RequestKind
from bramleybeam.errors import ErrorKind, refuse
from bramleybeam.gateway._change_notifier import ChangeNotifier
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._job import Job, RequestRefusedError
from bramleybeam.gateway._stream_origins import StreamOrigin

# Longest wait in seconds for the record of another gateway, and the time between
# two looks.
_LOOKUP_S: Final = 1.0
_LOOKUP_STEP_S: Final = 0.1
# Retry-After of a stream whose origin isn't known here yet.
_RETRY_AFTER_S: Final = 0.5
_log = structlog.get_logger('resumption')


@attrs.frozen
class Resumption:
    """Finds the software that began a stream, and refuses any other."""

    directory: Directory
    changed: ChangeNotifier

    async def find_origin(self, job: Job) -> None:
        """Set the origin of a stream that the caller resumes.

        Waits a little if only another gateway knows it. Raises the refusal of a
        stream whose origin stays unknown.
        """
        is_stream = job.route.kind == RequestKind.STREAMING
        if not is_stream or not job.facts.last_event:
            return
        ends_at = self.directory.now() + _LOOKUP_S
        origin = self._look_up(job)
        while origin is None and self.directory.now() < ends_at:
            self.directory.freshness.request_read()
            await self.changed.wait(_LOOKUP_STEP_S)
            origin = self._look_up(job)
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

    def _look_up(self, job: Job) -> StreamOrigin | None:
        """Return the origin of a stream, if its route still allows the service.

        Of several services of a route, the one that began the stream is chosen.
        """
        origins = self.directory.origins
        found = origins.find(job.facts.resumed_id)
        if found is not None:
            return found if self._choose_service(job, found.service) else None
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
