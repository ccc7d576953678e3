"""Applies changes of the settings file while a gateway runs.

The platform writes the file anew whenever a setting changes, and tells a process
by SIGHUP or not at all. A file that is invalid leaves the settings as they are.
"""

from collections.abc import Callable
from typing import Final

import attrs
import structlog
from expression import Result

from bramleybeam.catalog import HostSettings
from bramleybeam.checks import Problem

# Settings that are used only at the start of a process: its identity, its
# addresses and the limits of its host.
_FIXED_SETTINGS: Final = (
    'name',
    'zone',
    'ip_address',
    'listen',
    'readiness_listen',
    'peer_port',
    'store_address',
    'max_descriptors',
    'link_bytes_per_s',
    'metrics_listen',
    'memory_mb',
)
_log = structlog.get_logger('settings')


class SettingsReloader:
    """Reads the settings file again and applies what has changed."""

    def __init__(
        self,
        settings: HostSettings,
        load: Callable[[], Result[HostSettings, Problem]],
        apply: Callable[[HostSettings], None],
    ) -> None:
        """Store the settings in force.

        ``load`` reads the file. ``apply`` is called with settings that differ
        from those in force.
        """
        self._settings = settings
        self._load = load
        self._apply = apply
        self._rejected = ''

    async def reload(self) -> None:
        """Read the file, and apply or reject its settings."""
        match self._load():
            case Result(tag='ok', ok=settings):
                self._rejected = ''
                self._take(settings)
            case Result(error=problem):
                self._reject(str(problem))

    def _take(self, new: HostSettings) -> None:
        fixed = {
            name: getattr(self._settings, name) for name in _FIXED_SETTINGS
        }
        effective = attrs.evolve(new, **fixed)
        if effective == self._settings:
            return
        _log.info(
            'settings_changed',
            settings=_list_changes(self._settings, effective),
            need_restart=_list_changes(effective, new),
        )
        self._settings = effective
        self._apply(effective)

    def _reject(self, problem: str) -> None:
        """Log the problem of a file, once for as long as it stays the same."""
        if problem != self._rejected:
            _log.error('settings_rejected', problem=problem)
        self._rejected = problem


def _list_changes(old: HostSettings, new: HostSettings) -> list[str]:
    """Return the names of the settings that differ."""
    return [
        field.name
        for field in attrs.fields(HostSettings)
        if getattr(old, field.name) != getattr(new, field.name)
    ]
