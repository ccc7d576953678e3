"""The port to the platform's key-value service, and its HTTP adapter."""

from bramleybeam.keyvalue._http import HttpKeyValue
from bramleybeam.keyvalue._lease import LeaseKeeper
from bramleybeam.keyvalue._port import (
    Ambiguous,
    Conflict,
    KeyValue,
    KeyValueError,
    Lease,
    LeaseHeld,
    Unavailable,
    Versioned,
)

__all__ = [
    'Ambiguous',
    'Conflict',
    'HttpKeyValue',
    'KeyValue',
    'KeyValueError',
    'Lease',
    'LeaseHeld',
    'LeaseKeeper',
    'Unavailable',
    'Versioned',
]
