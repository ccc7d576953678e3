"""HTTP/1.1 as it is passed on: callers' connections and calls to peers."""

from bramleybeam.relay._call import PeerCall, open_call
from bramleybeam.relay._caller import CallerConnection, CallerServer
from bramleybeam.relay._messages import (
    BrokenReplyError,
    Headers,
    InboundRequest,
    ReplyHead,
    end_to_end_headers,
    find_header,
)
from bramleybeam.relay._pool import CallPool

__all__ = [
    'BrokenReplyError',
    'CallPool',
    'CallerConnection',
    'CallerServer',
    'Headers',
    'InboundRequest',
    'PeerCall',
    'ReplyHead',
    'end_to_end_headers',
    'find_header',
    'open_call',
]
