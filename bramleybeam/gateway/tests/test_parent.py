"""When a parent counts as unresponsive, and for how long it is skipped."""

import pytest

from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._parent import ParentSelector
from bramleybeam.gateway._tree import ObservedPlanner, Peer

LOCAL_PEER = Peer('10.0.0.9:7', 'host-9', 'zone-0')
REFRESH_S = 0.5


@pytest.fixture
def selector():
    directory = Directory(float)
    for number in range(3):
        peer = Peer(f'10.0.0.{number}:7', f'host-{number}', 'zone-0')
        directory.peers[peer.host] = peer
    directory.note_planner(ObservedPlanner(1, 'host-0'))
    return ParentSelector(LOCAL_PEER, directory)


def refresh(selector, start, end, responsive=()):
    """Refresh at the interval of a gateway; return the sequence of parents.

    The parents in ``responsive`` send a message before each refresh.
    """
    parents = []
    now = start
    while now <= end:
        if selector.address in responsive:
            selector.note_contact(now)
        selector.refresh(now)
        if not parents or parents[-1] != selector.address:
            parents.append(selector.address)
        now += REFRESH_S
    return parents


def test_unresponsive_parents_are_skipped_one_by_one(selector):
    assert refresh(selector, 100, 104) == [
        '10.0.0.0:7',
        '10.0.0.1:7',
        '10.0.0.2:7',
    ]


def test_responsive_parent_is_kept(selector):
    assert refresh(selector, 100, 160, ('10.0.0.0:7',)) == ['10.0.0.0:7']


def test_unresponsive_parent_is_skipped_until_it_answers_a_probe(selector):
    responsive = ('10.0.0.1:7', '10.0.0.2:7')
    refresh(selector, 100, 102, responsive)
    assert refresh(selector, 102.5, 200, responsive) == ['10.0.0.1:7']
    selector.note_probe_answer('10.0.0.0:7')
    assert refresh(selector, 200.5, 201, responsive) == ['10.0.0.0:7']


def test_unresponsive_parent_is_probed_each_second_while_listed(selector):
    refresh(selector, 100, 102, ('10.0.0.1:7', '10.0.0.2:7'))
    probed = [selector.take_probes(103 + tenth / 10) for tenth in range(50)]
    assert sum(probed, []) == ['10.0.0.0:7'] * 5
    selector._directory.peers.pop('host-0')
    assert not selector.take_probes(110)


def test_suspended_gateway_keeps_its_parent(selector):
    refresh(selector, 100, 101, ('10.0.0.0:7',))
    # No refresh for five seconds: this process was suspended, not the parent.
    assert refresh(selector, 106, 106.5, ()) == ['10.0.0.0:7']
