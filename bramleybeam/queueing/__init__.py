"""Decisions about waiting requests, without I/O.

Who is served next, which places are left to urgent requests, and who is refused
because its turn would come too late.
"""

from bramleybeam.queueing._request_queue import QueuedRequest, RequestQueue
from bramleybeam.queueing._urgent_places import UrgentWork, patient_places

__all__ = ['QueuedRequest', 'RequestQueue', 'UrgentWork', 'patient_places']
