"""Quotas of workspaces over all gateways, without I/O.

The coordinator grants parts of each quota to gateways, which spend only what
they were granted.
"""

from bramleybeam.quotas._account import (
    Charge,
    QuotaAccount,
    Reservation,
    ReservationState,
    Totals,
    Waiter,
)
from bramleybeam.quotas._client import QuotaClient
from bramleybeam.quotas._coordinator import CoordinatorView, QuotaCoordinator
from bramleybeam.quotas._limits import AUTHORITY_S, LEASE_S, QuotaLimits
from bramleybeam.quotas._messages import (
    DemandRow,
    GrantRow,
    QuotaGrant,
    QuotaRequest,
)
from bramleybeam.quotas._store_contact import StoreContact

__all__ = [
    'AUTHORITY_S',
    'LEASE_S',
    'Charge',
    'CoordinatorView',
    'DemandRow',
    'GrantRow',
    'QuotaAccount',
    'QuotaClient',
    'QuotaCoordinator',
    'QuotaGrant',
    'QuotaLimits',
    'QuotaRequest',
    'Reservation',
    'ReservationState',
    'StoreContact',
    'Totals',
    'Waiter',
]
