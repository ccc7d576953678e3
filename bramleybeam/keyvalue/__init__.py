"""Interface to the platform's key-value service, and a lease holder."""

from bramleybeam.keyvalue._lease import LeaseKeeper, Renewal
from bramleybeam.keyvalue._listing import (
    Changes,
    HistoryLost,
    Item,
    Listing,
    ListingStore,
    Removal,
)
from bramleybeam.keyvalue._port import (
    Ambiguous,
    Conflict,
    KeyValue,
    KeyValueError,
    Lease,
    LeaseHeld,
    LeaseStore,
    Unavailable,
    Versioned,
)

__all__ = [
    'Ambiguous',
    'Changes',
    'Conflict',
    'HistoryLost',
    'Item',
    'KeyValue',
    'KeyValueError',
    'Lease',
    'LeaseHeld',
    'LeaseKeeper',
    'LeaseStore',
    'Listing',
    'ListingStore',
    'Removal',
    'Renewal',
    'Unavailable',
    'Versioned',
]
