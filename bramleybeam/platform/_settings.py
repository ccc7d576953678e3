"""Decodes the platform's settings file into the settings of the host.

Unknown fields are ignored, because the platform adds fields at times.
"""

import os
import tomllib
from pathlib import Path
from typing import Any, Final

from expression import Error, Ok, Result

from bramleybeam.catalog import HostSettings, TimeBounds
from bramleybeam.checks import Problem

SETTINGS_VARIABLE: Final = 'BRAMLEYBEAM_NODE_FILE'
# Raised by decoding a field that is missing or has a wrong type.
_FIELD_ERRORS: Final = (KeyError, TypeError, ValueError, IndexError)
_BYTES_PER_MBIT: Final = 125_000
_REMEDY: Final = (
    f'{SETTINGS_VARIABLE} must name the settings file of this host.'
)


def load_host_settings(
    path: str | None = None,
) -> Result[HostSettings, Problem]:
    """Return the settings in ``path``, or in the file the environment names.

    A file that cannot be read or decoded gives a ``Problem``.
    """
    source = path or os.environ.get(SETTINGS_VARIABLE, '')
    try:
        raw = tomllib.loads(Path(source).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Error(Problem(source, str(error), 'readable TOML', _REMEDY))
    try:
        return Ok(_decode(raw))
    except _FIELD_ERRORS as error:
        return Error(
            Problem(source, repr(error), 'present and well typed', _REMEDY),
        )


def _decode(raw: dict[str, Any]) -> HostSettings:
    listen = raw['listen-addrs']
    bounds = raw['bounds']
    return HostSettings(
        name=str(raw['node']),
        zone=str(raw['zone']),
        ip_address=str(raw['ip-address']),
        listen=str(listen['front']),
        readiness_listen=str(listen['ready']),
        peer_port=int(raw['port-range'][0]),
        store_address=str(raw['platform']['address']),
        bounds=_decode_bounds(bounds),
        retry_ratio=float(bounds['retry-ratio']),
        retry_allowance=float(bounds['retry-slack']),
        load_excess=float(bounds['ceiling-over']),
        replicas_check_epochs=bounds.get('require-fence', False) is True,
        max_descriptors=int(raw['limits']['max-fds']),
        link_bytes_per_s=_link_bytes_per_s(raw['limits']),
    )


def _link_bytes_per_s(limits: dict[str, Any]) -> float:
    """Return the rate of the network link in bytes/s, or 0 if unknown."""
    return float(limits.get('link-mbps', 0)) * _BYTES_PER_MBIT


def _decode_bounds(bounds: dict[str, Any]) -> TimeBounds:
    """Return the time bounds in seconds.

    ``lease-ms`` is the pause between the orders of two planners,
    ``ceiling-window-s`` the window in which loads are counted.
    """
    return TimeBounds(
        drain_s=bounds['drain-ms'] / 1000,
        grace_s=float(bounds['grace-period-s']),
        configuration_s=bounds['config-apply-ms'] / 1000,
        order_pause_s=bounds['lease-ms'] / 1000,
        order_window_s=float(bounds['ceiling-window-s']),
        retry_window_s=float(bounds['retry-window-s']),
    )
