"""Decisions about waiting requests, without I/O.

Who is served next, which places are left to urgent requests, and who is refused
because its turn would come too late.
"""

from bramleybeam.queueing._expected_wait import (
    ServiceTime,
    cannot_meet_deadline,
    expected_wait,
    spread_retry,
)
from bramleybeam.queueing._request_queue import (
    QueuedRequest,
    RequestQueue,
    count_places_before,
)
from bramleybeam.queueing._urgent_places import UrgentWork, tolerant_places

__all__ = [
    'QueuedRequest',
    'RequestQueue',
    'ServiceTime',
    'UrgentWork',
    'cannot_meet_deadline',
    'count_places_before',
    'expected_wait',
    'tolerant_places',
    'spread_retry',
]
