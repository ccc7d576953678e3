"""When a parent counts as silent, and for how long it is passed over."""

import pytest

from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._parent import ParentSelector
from bramleybeam.gateway._tree import ObservedPlanner, Peer

OWN = Peer('10.0.0.9:7', 'host-9', 'zone-0')
REFRESH_S = 0.5


@pytest.fixture
def choice():
    directory = Directory(float)
    for number in range(3):
        peer = Peer(f'10.0.0.{number}:7', f'host-{number}', 'zone-0')
        directory.peers[peer.host] = peer
    directory.note_planner(ObservedPlanner(1, 'host-0'))
    return ParentSelector(OWN, directory)


def refresh(choice, start, end, heard=()):
    """Refresh as often as a gateway does; return the parents, as they change."""
    parents = []
    now = start
    while now <= end:
        if choice.address in heard:
            choice.note_contact(now)
        choice.refresh(now)
        if not parents or parents[-1] != choice.address:
            parents.append(choice.address)
        now += REFRESH_S
    return parents


def test_silent_parents_are_passed_over_one_by_one(choice):
    assert refresh(choice, 100, 104) == [
        '10.0.0.0:7',
        '10.0.0.1:7',
        '10.0.0.2:7',
    ]


def test_parent_that_speaks_is_kept(choice):
    assert refresh(choice, 100, 160, ('10.0.0.0:7',)) == ['10.0.0.0:7']


def test_silent_parent_is_passed_over_until_it_answers(choice):
    heard = ('10.0.0.1:7', '10.0.0.2:7')
    refresh(choice, 100, 102, heard)
    assert refresh(choice, 102.5, 200, heard) == ['10.0.0.1:7']
    choice.note_probe_answer('10.0.0.0:7')
    assert refresh(choice, 200.5, 201, heard) == ['10.0.0.0:7']


def test_silent_parent_is_asked_once_a_second_while_it_is_listed(choice):
    refresh(choice, 100, 102, ('10.0.0.1:7', '10.0.0.2:7'))
    asked = [choice.take_probes(103 + tenth / 10) for tenth in range(50)]
    assert sum(asked, []) == ['10.0.0.0:7'] * 5
    choice._directory.peers.pop('host-0')
    assert not choice.take_probes(110)


def test_gateway_that_stood_still_keeps_its_parent(choice):
    refresh(choice, 100, 101, ('10.0.0.0:7',))
    # No refresh for five seconds: this process was frozen, not the parent.
    assert refresh(choice, 106, 106.5, ()) == ['10.0.0.0:7']
