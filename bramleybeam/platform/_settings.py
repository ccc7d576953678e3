"""The platform's settings file, decoded into the host's settings.

Unknown fields are ignored, since the platform adds some now and then.
"""

import os
import tomllib
from pathlib import Path
from typing import Any, Final

from expression import Error, Ok, Result

from bramleybeam.catalog import HostSettings, TimeBounds
from bramleybeam.checks import Problem

SETTINGS_VARIABLE: Final = 'BRAMLEYBEAM_NODE_FILE'
_BAD_FIELD: Final = (KeyError, TypeError, ValueError, IndexError)
_BYTES_PER_MBIT: Final = 125_000
_REMEDY: Final = f'{SETTINGS_VARIABLE} must name the settings of this host.'


def load_host_settings(
    path: str | None = None,
) -> Result[HostSettings, Problem]:
    """Read the file that the environment names, or ``path``."""
    place = path or os.environ.get(SETTINGS_VARIABLE, '')
    try:
        raw = tomllib.loads(Path(place).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Error(Problem(place, str(error), 'readable TOML', _REMEDY))
    try:
        return Ok(_decode(raw))
    except _BAD_FIELD as error:
        return Error(
            Problem(place, repr(error), 'present and well typed', _REMEDY),
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
        link_bytes_per_s=_link_rate(raw['limits']),
    )


def _link_rate(limits: dict[str, Any]) -> float:
    return float(limits.get('link-mbps', 0)) * _BYTES_PER_MBIT


def _decode_bounds(bounds: dict[str, Any]) -> TimeBounds:
    return TimeBounds(
        drain_s=bounds['drain-ms'] / 1000,
        grace_s=float(bounds['grace-period-s']),
        configuration_s=bounds['config-apply-ms'] / 1000,
        order_pause_s=bounds['lease-ms'] / 1000,
        order_window_s=float(bounds['ceiling-window-s']),
        retry_window_s=float(bounds['retry-window-s']),
    )
