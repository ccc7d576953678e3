"""Decisions about waiting requests, without I/O.

Who is served next, and who is refused because its turn would come too late.
"""

from bramleybeam.queueing._request_queue import QueuedRequest, RequestQueue

__all__ = ['QueuedRequest', 'RequestQueue']
