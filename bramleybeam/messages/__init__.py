"""Typed bodies of the notices, calls and replies between processes."""

from bramleybeam.messages._codec import MessageError, decode, encode
from bramleybeam.messages._messages import (
    ATTACHED,
    NEVER_RAN,
    UNKNOWN,
    ArtifactState,
    Attach,
    AttachReply,
    ClaimCall,
    ClaimReply,
    Configuration,
    CrashNotice,
    Follow,
    Load,
    Order,
    OrderReply,
    Report,
    Topic,
)

__all__ = [
    'ATTACHED',
    'NEVER_RAN',
    'UNKNOWN',
    'ArtifactState',
    'Attach',
    'AttachReply',
    'ClaimCall',
    'ClaimReply',
    'Configuration',
    'CrashNotice',
    'Follow',
    'Load',
    'MessageError',
    'Order',
    'OrderReply',
    'Report',
    'Topic',
    'decode',
    'encode',
]
