"""Decodes the workspaces of the operator's configuration.

The platform calls them tenants. Errors name the field, never the content of a
key.
"""

import math
from typing import Any, Final

from bramleybeam.catalog import (
    Quota,
    QuotaUnit,
    Workspace,
    WorkspaceDirectory,
)

_LIST: Final = 'tenants'


def decode_workspaces(raw: dict[str, Any]) -> WorkspaceDirectory | None:
    """Return the workspaces of a configuration.

    ``None`` if the configuration has no such list; then requests need no key.
    Raises ``ValueError`` with the path of the field that is malformed.
    """
    rows = raw.get(_LIST)
    if rows is None:
        return None
    if not isinstance(rows, list):
        raise ValueError(f'{_LIST}: not a list')
    directory = WorkspaceDirectory()
    for index, row in enumerate(rows):
        _add(directory, row, f'{_LIST}[{index}]')
    return directory


def _add(directory: WorkspaceDirectory, raw: Any, path: str) -> None:
    """Decode the workspace at ``path`` and add it with its keys."""
    if not isinstance(raw, dict):
        raise ValueError(f'{path}: not an object')
    name = raw.get('name')
    if not isinstance(name, str) or not _is_header_value(name):
        raise ValueError(f'{path}.name: not a name')
    workspace = Workspace(name, _decode_priority(raw, path), _quota(raw, path))
    keys = _decode_keys(raw.get('api-keys', ()), f'{path}.api-keys')
    directory.add(workspace, keys)


def _is_header_value(name: str) -> bool:
    """Whether a name can be sent in a header."""
    return bool(name) and name.isascii() and name.isprintable()


def _decode_keys(raw: Any, path: str) -> list[bytes]:
    if not isinstance(raw, list | tuple):
        raise ValueError(f'{path}: not a list')
    keys = [key.encode() for key in raw if isinstance(key, str) and key]
    if len(keys) != len(raw):
        raise ValueError(f'{path}: not a list of texts')
    return keys


def _decode_priority(raw: dict[str, Any], path: str) -> int | None:
    priority = raw.get('priority')
    is_whole = isinstance(priority, int) and not isinstance(priority, bool)
    if priority is not None and not is_whole:
        raise ValueError(f'{path}.priority: not a whole number')
    return priority


def _quota(raw: dict[str, Any], path: str) -> Quota | None:
    """Return the quota; ``None`` if the rate is 0 or missing."""
    rate_per_s = _number(raw, 'rate-per-s', path)
    burst = _number(raw, 'burst', path)
    plain_tokens = _number(raw, 'plain-tokens', path)
    try:
        unit = QuotaUnit(raw.get('unit') or QuotaUnit.REQUESTS)
    except ValueError as error:
        raise ValueError(f'{path}.unit: {error}') from None
    if not rate_per_s:
        return None
    return Quota(rate_per_s, burst, unit, int(plain_tokens))


def _number(raw: dict[str, Any], field: str, path: str) -> float:
    """Return a finite number of at least 0; 0 if the field is missing."""
    found = raw.get(field)
    if found is None:
        return 0
    is_number = isinstance(found, int | float) and not isinstance(found, bool)
    if not is_number or not 0 <= found < math.inf:
        raise ValueError(f'{path}.{field}: not a number of at least 0')
    return float(found)
