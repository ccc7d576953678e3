"""HTTP/1.1 relaying: a server for callers and connections to peers.

Names and comments use *reply* for the HTTP response that a peer sends to this
process, and *response* for the one that this process writes to a caller.
"""

from bramleybeam.relay._caller_budget import CallerBudget
from bramleybeam.relay._caller_server import CallerConnection, CallerServer
from bramleybeam.relay._connection_pool import ConnectionPool
from bramleybeam.relay._messages import (
    BrokenReplyError,
    Headers,
    InboundRequest,
    InvalidReplyError,
    ReplyHead,
    end_to_end_headers,
    find_header,
)
from bramleybeam.relay._peer_connection import PeerConnection, connect_peer

__all__ = [
    'BrokenReplyError',
    'CallerBudget',
    'CallerConnection',
    'CallerServer',
    'ConnectionPool',
    'Headers',
    'InboundRequest',
    'InvalidReplyError',
    'PeerConnection',
    'ReplyHead',
    'connect_peer',
    'end_to_end_headers',
    'find_header',
]
