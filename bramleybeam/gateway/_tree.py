"""The tree over which gateways tell each other how things stand.

Each gateway reports to one parent, so that what a gateway sends and takes does
not grow with their number. The planner is the root. Within a zone the parents
are the gateways with the widest links; only one gateway of a zone, its head,
has a parent in another. Everybody derives the tree from the same list; whoever
passes over a silent gateway derives it without that one, and since a parent
always stands before its children in the list, no circle can last.
"""

import json
from collections.abc import Collection, Sequence
from typing import Final

import attrs

# Children of a gateway in its own zone, and of a head among the heads.
FANOUT: Final = 3


@attrs.frozen
class Peer:
    """A gateway as its entry in the store shows it.

    ``host`` is its name in the settings, ``address`` where it takes datagrams,
    ``link_bytes_per_s`` the rate of its machine's link, ``revision`` that of
    the entry.
    """

    address: str
    host: str = ''
    zone: str = ''
    link_bytes_per_s: float = 0
    revision: int = attrs.field(default=0, eq=False)


@attrs.frozen(order=True)
class ObservedPlanner:
    """The planner's key as the store shows it; revision 0 for none."""

    revision: int = 0
    host: str = ''


def encode_peer(peer: Peer) -> str:
    """Encode a gateway's entry in the store."""
    fields = attrs.asdict(peer)
    fields.pop('revision')
    return json.dumps(fields)


def decode_peer(content: bytes, revision: int = 0) -> Peer | None:
    """Decode a gateway's entry; ``None`` when it can't be read."""
    try:
        fields = json.loads(content)
        return Peer(
            str(fields['address']),
            str(fields['host']),
            str(fields['zone']),
            float(fields['link_bytes_per_s']),
            revision,
        )
    except (ValueError, KeyError, TypeError):
        return None


def choose_parent(
    local_peer: Peer,
    peers: Collection[Peer],
    root: str,
    unresponsive: Collection[str] = (),
) -> Peer | None:
    """Return whom to report to; ``None`` for the root itself.

    ``root`` is the host of the planner, if there is one; ``silent`` are
    addresses to pass over.
    """
    remote_peers = [
        peer
        for peer in peers
        if peer.host != local_peer.host and peer.address not in unresponsive
    ]
    ranked = sorted(
        (local_peer, *remote_peers), key=lambda peer: _rank(peer, root)
    )
    zone = [peer for peer in ranked if peer.zone == local_peer.zone]
    if zone[0] != local_peer:
        return _parent_in_layout(zone, local_peer)
    heads = {peer.zone: peer for peer in reversed(ranked)}
    ranked_heads = sorted(heads.values(), key=lambda peer: _rank(peer, root))
    return _parent_in_layout(ranked_heads, local_peer)


def _rank(peer: Peer, root: str) -> tuple[bool, float, str]:
    return (peer.host != root, -peer.link_bytes_per_s, peer.host)


def _parent_in_layout(layout: Sequence[Peer], local_peer: Peer) -> Peer | None:
    """Return the parent in a tree that is laid out row by row."""
    position = layout.index(local_peer)
    return layout[(position - 1) // FANOUT] if position else None
