"""The tree that every gateway derives from the same list of peers."""

import random

import pytest

from bramleybeam.gateway._tree import (
    FANOUT,
    HEAD_FANOUT,
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
    ('count', 'zones', 'max_depth'),
    [(1, 1, 0), (5, 3, 2), (28, 4, 4), (330, 9, 7), (1000, 9, 8)],
)
@pytest.mark.parametrize('root', ['', 'host-0'])
def test_one_root_with_limited_children_and_depth(
    count, zones, max_depth, root
):
    peers = make_peers(count, zones)
    parents = parents_of(peers, root)
    (root_peer,) = [peer for peer, parent in parents.items() if parent is None]
    assert root in {'', root_peer.host}
    assert max(depth_of(peer, parents) for peer in peers) <= max_depth
    for peer in peers:
        children = [child for child in peers if parents[child] == peer]
        zone_children = [child for child in children if child.zone == peer.zone]
        assert len(zone_children) <= FANOUT
        assert len(children) <= FANOUT + HEAD_FANOUT


def test_one_gateway_of_a_zone_has_its_parent_in_another_zone():
    peers = make_peers(28, 4)
    parents = parents_of(peers, 'host-9')
    zones_with_external_parent = [
        peer.zone
        for peer, parent in parents.items()
        if parent and parent.zone != peer.zone
    ]
    zones = {peer.zone for peer in peers} - {peers[9].zone}
    assert sorted(zones_with_external_parent) == sorted(zones)


def test_zone_head_has_the_fastest_link():
    peers = make_peers(28, 4)
    parents = parents_of(peers, '')
    zone = [peer for peer in peers if peer.zone == 'zone-1']
    fastest = max(peer.link_bytes_per_s for peer in zone)
    heads = [peer for peer in zone if parents[peer] not in zone]
    assert [head.link_bytes_per_s for head in heads] == [fastest]


@pytest.mark.parametrize('seed', range(20))
def test_no_cycle_if_views_of_unresponsive_gateways_differ(seed):
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
def test_only_well_formed_entries_are_decoded(content, is_readable):
    assert (decode_peer(content) is not None) == is_readable
