"""The entry by which other gateways find this one in the store."""

from typing import Final

from bramleybeam import platform
from bramleybeam.gateway._directory import GATEWAY_PREFIX, PEER_PREFIX
from bramleybeam.gateway._tree import Peer, encode_peer
from bramleybeam.keyvalue import LeaseKeeper

# Lifetime of the entry in seconds, and how often it is renewed.
_TTL_S: Final = 10.0
RENEW_S: Final = 3.0


def make_registration(
    store: platform.PlatformStore, local_peer: Peer
) -> LeaseKeeper:
    """Return the lease of a gateway's entry; ``keep`` renews it."""
    key = PEER_PREFIX.removeprefix(GATEWAY_PREFIX) + local_peer.address
    return LeaseKeeper(
        store, key, encode_peer(local_peer), platform.boot_clock, _TTL_S
    )
