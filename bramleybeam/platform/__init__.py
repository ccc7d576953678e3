"""Names, formats and calls of the platform on which the system runs.

Other packages know nothing of its headers, paths and keys.
"""

from bramleybeam.platform._entries import (
    CONFIGURATION_KEY,
    REPLICA_PREFIX,
    decode_configuration,
    decode_holdings,
    decode_replica,
)
from bramleybeam.platform._orders import (
    OrderAccepted,
    OrderOutcome,
    OrderRefused,
    OrderTerms,
    OrderUnanswered,
    ReplicaOrders,
)
from bramleybeam.platform._identity import identify_replica
from bramleybeam.platform._requests import (
    READINESS_PATH,
    PromptPart,
    ReplyFacts,
    RequestFacts,
    SendTerms,
    describe_reply,
    describe_request,
    outgoing_headers,
    refusal_headers,
)
from bramleybeam.platform._settings import load_host_settings
from bramleybeam.platform._store import PlatformStore
from bramleybeam.timers import boot_clock

__all__ = [
    'CONFIGURATION_KEY',
    'READINESS_PATH',
    'REPLICA_PREFIX',
    'OrderAccepted',
    'OrderOutcome',
    'OrderRefused',
    'OrderTerms',
    'OrderUnanswered',
    'PlatformStore',
    'PromptPart',
    'ReplicaOrders',
    'ReplyFacts',
    'RequestFacts',
    'SendTerms',
    'boot_clock',
    'decode_configuration',
    'decode_holdings',
    'decode_replica',
    'describe_reply',
    'describe_request',
    'identify_replica',
    'load_host_settings',
    'outgoing_headers',
    'refusal_headers',
]
