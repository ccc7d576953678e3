"""Checks the key of each request, at admission and before each send."""

from typing import Final

import structlog
from expression import Result

from bramleybeam.catalog import Route, RoutingConfiguration, Workspace
from bramleybeam.errors import Refusal
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._job import Job, RequestRefusedError
from bramleybeam.platform import RequestFacts
from bramleybeam.workspaces import (
    RECHECK,
    KeyState,
    find_caller,
    read_bearer_key,
)

_log: Final = structlog.get_logger('access')


class KeyChecker:
    """Finds the workspace of a request by its key, or refuses the request.

    A request that was admitted is checked again whenever another configuration
    is in force, against its route in that configuration.
    """

    def __init__(self, directory: Directory) -> None:
        """Store the directory with the configuration and the age of its keys."""
        self._directory = directory
        self._was_current = True

    def admit(
        self,
        configuration: RoutingConfiguration,
        route: Route,
        facts: RequestFacts,
    ) -> Workspace | None:
        """Return the workspace of a new request.

        Raises ``RequestRefusedError``, after a log line with the reason.
        """
        self.note_age()
        key = read_bearer_key(facts.credentials)
        found = find_caller(configuration, route, key, self._describe_state())
        if found.is_ok():
            return found.ok
        known = configuration.find_workspace(key) if key else None
        _log.warning(
            'access_refused',
            request=facts.request_id,
            route=route.name,
            kind=found.error.kind,
            workspace=known.name if known else None,
            newest_version=self._directory.freshness.newest_version,
            **self._directory.describe_state(),
        )
        raise RequestRefusedError(found.error)

    def find_refusal(self, job: Job) -> Refusal | None:
        """Check the key of an admitted request; return why it may not run.

        The workspace of the request is updated.
        """
        configuration = self._directory.configuration
        if job.checked_version is None or configuration is None:
            return None
        if job.checked_version == configuration.version:
            return None
        request = job.request
        route = configuration.match(request.host, request.path) or job.route
        key = read_bearer_key(job.facts.credentials)
        match find_caller(configuration, route, key, RECHECK):
            case Result(tag='ok', ok=workspace):
                job.workspace = workspace
                # Where keys were required at any time, what the caller sent may
                # be a key.
                job.hides_keys = job.hides_keys or configuration.requires_keys
                job.checked_version = configuration.version
                return None
            case Result(error=refusal):
                return refusal

    def note_age(self) -> None:
        """Log when the keys become outdated, and when they are current again.

        A configuration without keys is not reported.
        """
        configuration = self._directory.configuration
        if configuration is None or not configuration.requires_keys:
            return
        keys = self._directory.keys
        is_current = keys.is_current
        if is_current == self._was_current:
            return
        self._was_current = is_current
        log = _log.info if is_current else _log.warning
        log(
            'keys_current' if is_current else 'keys_outdated',
            version=keys.version,
            source=keys.source,
            **keys.describe(),
        )

    def _describe_state(self) -> KeyState:
        directory = self._directory
        return KeyState(
            directory.keys.is_current,
            directory.freshness.has_newest_configuration,
        )
