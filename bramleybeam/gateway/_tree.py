"""The tree over which gateways exchange their state.

Each gateway reports to one parent, so that the bytes that a gateway sends and
receives do not grow with the number of gateways. The planner is the root.
Within a zone the gateways with the fastest links are the parents. Only one
gateway of a zone, its head, has a parent in another zone. All gateways derive
the tree from the same list of peers, and a gateway that skips an unresponsive
peer derives it without that peer. A parent always precedes its children in the
order of the list, so no cycle can persist.
"""

import json
from collections.abc import Collection, Sequence
from typing import Final

import attrs

from bramleybeam.catalog import check_address

# Most children of a gateway within its zone, and of a head among the heads. A head
# has both kinds, and shares its bytes among them.
FANOUT: Final = 3
HEAD_FANOUT: Final = 2
# Number of gateways that are ready to succeed the root.
_DEPUTIES: Final = 2
_DECODING_ERRORS: Final = (
    ValueError,
    KeyError,
    TypeError,
    OverflowError,
    RecursionError,
)


@attrs.frozen
class Peer:
    """A gateway as described by its entry in the store.

    ``host`` is the name of its host in the settings, ``address`` the
    ``IP:PORT`` at which it receives datagrams, ``link_bytes_per_s`` the rate of
    the host's network link, ``revision`` the store revision of the entry.
    """

    address: str
    host: str = ''
    zone: str = ''
    link_bytes_per_s: float = 0
    revision: int = attrs.field(default=0, eq=False)


@attrs.frozen(order=True)
class ObservedPlanner:
    """The planner's key as read from the store.

    ``revision`` is the revision of the key, 0 if there is no planner; ``host``
    is the host that holds the lease.
    """

    revision: int = 0
    host: str = ''


def encode_peer(peer: Peer) -> str:
    """Return a gateway's entry for the store, as JSON without the revision."""
    fields = attrs.asdict(peer)
    fields.pop('revision')
    return json.dumps(fields)


def decode_peer(content: bytes, revision: int = 0) -> Peer | None:
    """Return the gateway of an entry; ``None`` if the entry is malformed."""
    try:
        fields = json.loads(content)
        return Peer(
            check_address(fields['address']),
            str(fields['host']),
            str(fields['zone']),
            float(fields['link_bytes_per_s']),
            revision,
        )
    except _DECODING_ERRORS:
        return None


def choose_parent(
    local_peer: Peer,
    peers: Collection[Peer],
    root: str,
    unresponsive: Collection[str] = (),
) -> Peer | None:
    """Return the parent of ``local_peer``; ``None`` if it is the root.

    ``root`` is the host of the planner, or empty if there is none;
    ``unresponsive`` are the addresses of gateways to skip.
    """
    remote_peers = [
        peer
        for peer in peers
        if peer.host != local_peer.host and peer.address not in unresponsive
    ]
    ranked = sorted(
        (local_peer, *remote_peers), key=lambda peer: _rank(peer, root)
    )
    zone_peers = [peer for peer in ranked if peer.zone == local_peer.zone]
    if zone_peers[0] != local_peer:
        return _parent_in_layout(zone_peers, local_peer, FANOUT)
    heads = {peer.zone: peer for peer in reversed(ranked)}
    ranked_heads = sorted(heads.values(), key=lambda peer: _rank(peer, root))
    return _parent_in_layout(ranked_heads, local_peer, HEAD_FANOUT)


def is_deputy(local_peer: Peer, peers: Collection[Peer], root: str) -> bool:
    """Whether a gateway is one of the first to succeed the root.

    These are the heads of the zones with the fastest links, other than the root
    ``root``, and after them the other gateways.
    """
    others = {peer.host: peer for peer in (*peers, local_peer)}
    others.pop(root, None)
    ranked = sorted(others.values(), key=lambda peer: _rank(peer, root))
    heads = {peer.zone: peer for peer in reversed(ranked)}
    ranked.sort(key=lambda peer: heads[peer.zone] is not peer)
    return local_peer.host in {peer.host for peer in ranked[:_DEPUTIES]}


def _rank(peer: Peer, root: str) -> tuple[bool, float, str]:
    """Return the sort key: the root first, then the fastest links."""
    return (peer.host != root, -peer.link_bytes_per_s, peer.host)


def _parent_in_layout(
    layout: Sequence[Peer], local_peer: Peer, fanout: int
) -> Peer | None:
    """Return the parent in a tree that is stored level by level.

    The element at index ``i`` has its parent at ``(i - 1) // fanout``, as in
    a heap; the first element is the root and has none.
    """
    position = layout.index(local_peer)
    return layout[(position - 1) // fanout] if position else None
