"""Links: multiplexed connections between Bramleybeam processes."""

from bramleybeam.links._codec import FrameDecoder, encode_frame
from bramleybeam.links._frames import (
    Accepted,
    Call,
    Cancel,
    Chunk,
    Credit,
    Dispatch,
    End,
    Failed,
    Frame,
    FrameError,
    Heartbeat,
    Hello,
    Notice,
    Refused,
    Reply,
)
from bramleybeam.links._link import Link, LinkHandler, LinkIdentity, LinkLost
from bramleybeam.links._transport import LinkServer, connect_link

__all__ = [
    'Accepted',
    'Call',
    'Cancel',
    'Chunk',
    'Credit',
    'Dispatch',
    'End',
    'Failed',
    'Frame',
    'FrameDecoder',
    'FrameError',
    'Heartbeat',
    'Hello',
    'Link',
    'LinkHandler',
    'LinkIdentity',
    'LinkLost',
    'LinkServer',
    'Notice',
    'Refused',
    'Reply',
    'connect_link',
    'encode_frame',
]
