"""The tree that every gateway derives from the same list."""

import random

import pytest

from bramleybeam.gateway._tree import (
    FANOUT,
    Peer,
    choose_parent,
    decode_peer,
    encode_peer,
)


def make_peers(count, zones, seed=1):
    rng = random.Random(seed)
    return [
        Peer(
            f'10.0.0.{number}:7',
            f'host-{number}',
            f'zone-{number % zones}',
            rng.choice([625_000.0, 12_500_000.0]),
        )
        for number in range(count)
    ]


def parents_of(peers, root, unresponsive=()):
    parents = {}
    for local_peer in peers:
        parent = choose_parent(local_peer, peers, root, unresponsive)
        parents[local_peer] = parent
    return parents


def depth_of(peer, parents):
    depth = 0
    while parents[peer] is not None:
        peer = parents[peer]
        depth += 1
        assert depth <= len(parents)
    return depth


@pytest.mark.parametrize(
    ('count', 'zones', 'deepest'),
    [(1, 1, 0), (5, 3, 2), (28, 4, 4), (330, 9, 7), (1000, 9, 8)],
)
@pytest.mark.parametrize('root', ['', 'host-0'])
def test_one_root_few_children_and_few_rows(count, zones, deepest, root):
    peers = make_peers(count, zones)
    parents = parents_of(peers, root)
    (top,) = [peer for peer, parent in parents.items() if parent is None]
    assert root in {'', top.host}
    assert max(depth_of(peer, parents) for peer in peers) <= deepest
    for peer in peers:
        children = [child for child in peers if parents[child] == peer]
        zone_children = [child for child in children if child.zone == peer.zone]
        assert len(zone_children) <= FANOUT
        assert len(children) <= 2 * FANOUT


def test_one_gateway_of_a_zone_has_its_parent_elsewhere():
    peers = make_peers(28, 4)
    parents = parents_of(peers, 'host-9')
    across = [
        peer.zone
        for peer, parent in parents.items()
        if parent and parent.zone != peer.zone
    ]
    zones = {peer.zone for peer in peers} - {peers[9].zone}
    assert sorted(across) == sorted(zones)


def test_wide_links_have_the_children():
    peers = make_peers(28, 4)
    parents = parents_of(peers, '')
    zone = [peer for peer in peers if peer.zone == 'zone-1']
    widest = max(peer.link_bytes_per_s for peer in zone)
    heads = [peer for peer in zone if parents[peer] not in zone]
    assert [head.link_bytes_per_s for head in heads] == [widest]


@pytest.mark.parametrize('seed', range(20))
def test_no_circle_where_views_of_silent_gateways_differ(seed):
    peers = make_peers(30, 4, seed)
    rng = random.Random(seed)
    parents = {}
    for local_peer in peers:
        other_addresses = [peer.address for peer in peers if peer != local_peer]
        unresponsive = rng.sample(other_addresses, rng.randrange(12))
        parents[local_peer] = choose_parent(
            local_peer, peers, 'host-3', unresponsive
        )
    for peer in peers:
        depth_of(peer, parents)


@pytest.mark.parametrize(
    ('content', 'is_readable'),
    [
        (encode_peer(Peer('1.2.3.4:5', 'h', 'z', 9)).encode(), True),
        (b'10.1.0.3:7380', False),
        (b'{"address": "x"}', False),
        (b'[]', False),
        (b'\xff', False),
    ],
)
def test_entry_of_another_writer_names_no_gateway(content, is_readable):
    assert (decode_peer(content) is not None) == is_readable
