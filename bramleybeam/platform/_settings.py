"""Decodes the platform's settings file into the settings of the host.

Unknown fields are ignored, because the platform adds fields at times.
"""

import math
import os
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, TypeVar

from expression import Error, Ok, Result

from bramleybeam.catalog import HostSettings, QuotaBounds, TimeBounds
from bramleybeam.checks import Problem

SETTINGS_VARIABLE: Final = 'BRAMLEYBEAM_NODE_FILE'
# Environment variable with the address at which metrics are served, IP:PORT. The
# deploy file sets it, because the settings file has no field for it.
METRICS_VARIABLE: Final = 'BRAMLEYBEAM_METRICS_ADDRESS'
# Raised by converting a field that has a wrong type or value.
_CONVERSION_ERRORS: Final = (TypeError, ValueError, IndexError, OverflowError)
_BYTES_PER_MBIT: Final = 125_000
_Field = TypeVar('_Field')
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
    except _InvalidFieldError as error:
        return Error(
            Problem(error.path, error.found, 'present and valid', _REMEDY)
        )


class _InvalidFieldError(Exception):
    """A field is missing or invalid; ``path`` is its dotted path."""

    def __init__(self, path: str, found: object) -> None:
        super().__init__(path)
        self.path = path
        self.found = found


def _read(
    raw: dict[str, Any], path: str, convert: Callable[[Any], _Field]
) -> _Field:
    """Return a field, converted; raises ``_InvalidFieldError``."""
    found: Any = raw
    try:
        for part in path.split('.'):
            found = found[part]
        return convert(found)
    except KeyError:
        raise _InvalidFieldError(path, 'missing') from None
    except _CONVERSION_ERRORS:
        raise _InvalidFieldError(path, found) from None


def _positive(raw: Any) -> float:
    """Return a number above 0; raises ``ValueError`` for any other."""
    number = float(raw)
    if number > 0 and math.isfinite(number):
        return number
    raise ValueError(f'{raw} is not above 0')


def _not_negative(raw: Any) -> float:
    """Return a number of at least 0; raises ``ValueError`` for any other."""
    number = float(raw)
    if number >= 0 and math.isfinite(number):
        return number
    raise ValueError(f'{raw} is below 0')


def _read_if_present(
    raw: dict[str, Any],
    path: str,
    convert: Callable[[Any], _Field],
    default: _Field,
) -> _Field:
    """Return a field of a table, converted, or ``default`` if it is missing."""
    table, _, field = path.partition('.')
    if field not in raw.get(table, {}):
        return default
    return _read(raw, path, convert)


def _seconds(raw: Any) -> float:
    """Return milliseconds in seconds; they must be above 0."""
    return _positive(raw) / 1000


def _first_port(raw: Any) -> int:
    return int(raw[0])


def _decode(raw: dict[str, Any]) -> HostSettings:
    limits = raw.get('limits', {})
    bounds = raw.get('bounds', {})
    return HostSettings(
        name=_read(raw, 'node', str),
        zone=_read(raw, 'zone', str),
        ip_address=_read(raw, 'ip-address', str),
        listen=_read(raw, 'listen-addrs.front', str),
        readiness_listen=_read(raw, 'listen-addrs.ready', str),
        peer_port=_read(raw, 'port-range', _first_port),
        store_address=_read(raw, 'platform.address', str),
        bounds=_decode_bounds(raw),
        retry_ratio=_read(raw, 'bounds.retry-ratio', float),
        retry_allowance=_read(raw, 'bounds.retry-slack', float),
        load_excess=_read(raw, 'bounds.ceiling-over', _positive),
        replicas_check_epochs=bounds.get('require-fence', False) is True,
        max_descriptors=_read(raw, 'limits.max-fds', int),
        link_bytes_per_s=_link_bytes_per_s(limits),
        metrics_listen=os.environ.get(METRICS_VARIABLE, ''),
        memory_mb=_read_if_present(raw, 'limits.memory-mb', _not_negative, 0.0),
        quota_bounds=_decode_quota_bounds(raw),
    )


def _decode_quota_bounds(raw: dict[str, Any]) -> QuotaBounds:
    """Return how far quotas may be exceeded; defaults where a field is missing."""
    default = QuotaBounds()
    return QuotaBounds(
        _read_if_present(
            raw, 'bounds.quota-window-s', _positive, default.window_s
        ),
        _read_if_present(
            raw, 'bounds.quota-over', _not_negative, default.excess_share
        ),
        _read_if_present(
            raw, 'bounds.quota-slack', _not_negative, default.allowance
        ),
    )


def _revocation_s(raw: dict[str, Any]) -> float | None:
    """Return the time in which a key must stop to be served, if limited."""
    if raw['bounds'].get('strict-revoke', False) is not True:
        return None
    return _read(raw, 'bounds.revoke-ms', _seconds)


def _link_bytes_per_s(limits: dict[str, Any]) -> float:
    """Return the rate of the network link in bytes/s, or 0 if unknown."""
    if 'link-mbps' not in limits:
        return 0
    return _read({'limits': limits}, 'limits.link-mbps', float) * (
        _BYTES_PER_MBIT
    )


def _decode_bounds(raw: dict[str, Any]) -> TimeBounds:
    """Return the time bounds in seconds.

    ``lease-ms`` is the pause between the orders of two planners,
    ``ceiling-window-s`` the window in which loads are counted.
    """
    return TimeBounds(
        drain_s=_read(raw, 'bounds.drain-ms', _seconds),
        grace_s=_read(raw, 'bounds.grace-period-s', _positive),
        configuration_s=_read(raw, 'bounds.config-apply-ms', _seconds),
        order_pause_s=_read(raw, 'bounds.lease-ms', _seconds),
        order_window_s=_read(raw, 'bounds.ceiling-window-s', _positive),
        retry_window_s=_read(raw, 'bounds.retry-window-s', _positive),
        revocation_s=_revocation_s(raw),
    )
