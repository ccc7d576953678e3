"""Decisions on callers' keys, without I/O.

Which workspace a key opens, how old the knowledge of keys is, and which requests
are refused because of that. This package never imports ``gateway``.
"""

from bramleybeam.workspaces._access import (
    RECHECK,
    KeyState,
    find_caller,
    read_bearer_key,
)
from bramleybeam.workspaces._key_age import (
    KeyAge,
    KeyRead,
    KeyReport,
    StampEcho,
    max_key_age_s,
)

__all__ = [
    'RECHECK',
    'KeyAge',
    'KeyRead',
    'KeyReport',
    'KeyState',
    'StampEcho',
    'find_caller',
    'max_key_age_s',
    'read_bearer_key',
]
