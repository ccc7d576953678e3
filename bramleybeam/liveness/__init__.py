"""Whether a process at an address is still the one that answered a request.

An open port, a name and an entry in a directory each say something else: that some
process listens now, what it is called, and what was known at an earlier time. This
package collects what a peer shows of itself and judges what that proves.
"""

from bramleybeam.liveness._evidence import (
    MIN_RESTART_S,
    Evidence,
    Liveness,
    NoReply,
    PortClosed,
    PortOpen,
    ProcessIdentity,
    Replied,
    Statement,
    judge,
)
from bramleybeam.liveness._guard import Guard, GuardTable
from bramleybeam.liveness._observer import ProcessObserver
from bramleybeam.liveness._probes import Peer, Query

__all__ = [
    'MIN_RESTART_S',
    'Evidence',
    'Guard',
    'GuardTable',
    'Liveness',
    'NoReply',
    'Peer',
    'PortClosed',
    'PortOpen',
    'ProcessIdentity',
    'ProcessObserver',
    'Query',
    'Replied',
    'Statement',
    'judge',
]
