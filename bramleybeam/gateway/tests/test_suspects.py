"""Requests that crash replicas, exchanged between gateways."""

import pytest

from bramleybeam.catalog import Service
from bramleybeam.gateway._job import Job
from bramleybeam.gateway._suspects import LostRequest
from bramleybeam.gateway.tests.exchange_network import Network
from bramleybeam.gateway.tests.test_choose import ROUTE
from bramleybeam.platform import PromptPart, RequestFacts
from bramleybeam.relay import InboundRequest
from bramleybeam.simulation import run_in_virtual_time

# Requirement: control traffic of a host in bytes a second, sent and received
# together.
CONTROL_BYTES_PER_S = 27_000
# Requirement: time after the third crash from which the request is refused.
CONTACT_S = 3.0


def run(scenario, *args, **kwargs):
    """Build a network and run a scenario with it, in virtual time."""

    async def build():
        return await scenario(Network(*args, **kwargs))

    return run_in_virtual_time(build())


def make_job(path='/p/x', parts=()):
    """Return the state of a request with the named parts in its prompt."""
    request = InboundRequest(b'POST', path.encode(), (), b'body', 0)
    prompt = tuple(PromptPart(name, 10) for name in parts)
    facts = RequestFacts('r1', 10, parts=prompt)
    return Job(request, facts, ROUTE, Service('ledger', '', 9), None, 10)


def crash(node, name, keys, duration_s=0.1):
    """Let a gateway see a replica crash with requests in flight."""
    now = node.cluster_state.directory.now()
    lost = [LostRequest('r', tuple(keys), now - duration_s, now)]
    node.cluster_state.suspects.note_crash(name, lost)


def count_refusing(network, job):
    """Return how many gateways refuse a request."""
    return sum(
        node.cluster_state.suspects.find_refusal(job) is not None
        for node in network.nodes.values()
    )


@pytest.mark.parametrize(
    ('gateways', 'loss'), [(3, 0.0), (3, 0.1), (28, 0.0), (28, 0.1), (330, 0.1)]
)
def test_every_gateway_refuses_after_crashes_at_three_of_them(gateways, loss):
    """Each of the three has seen one crash, and its host dies right after."""

    async def scenario(network):
        job = make_job()
        nodes = list(network.nodes.values())
        await network.run(3)
        for number in range(3):
            seeing = nodes[-1 - number]
            crash(seeing, f'c{number}', job.suspect_keys)
            await network.run(0.3)
            seeing.is_down = gateways > 3
        await network.run(CONTACT_S)
        down = sum(node.is_down for node in nodes)
        assert count_refusing(network, job) >= gateways - down

    run(scenario, gateways, 4, loss)


def test_gateway_that_returns_takes_over_all_quarantines():
    async def scenario(network):
        jobs = [make_job(f'/p/{number}') for number in range(40)]
        nodes = list(network.nodes.values())
        await network.run(2)
        absent = nodes[-1]
        absent.is_down = True
        for number in range(3):
            for job in jobs:
                crash(nodes[1], f'c{number}', job.suspect_keys)
            await network.run(0.5)
        await network.run(20)
        absent.is_down = False
        await network.run(CONTACT_S)
        suspects = absent.cluster_state.suspects
        assert all(suspects.find_refusal(job) for job in jobs)

    run(scenario, 5, 3)


def test_completed_answer_clears_a_suspect_everywhere():
    """A gateway that was away with old evidence does not bring it back."""

    async def scenario(network):
        job = make_job()
        nodes = list(network.nodes.values())
        await network.run(2)
        for number in range(3):
            crash(nodes[1], f'c{number}', job.suspect_keys)
            await network.run(0.5)
        assert count_refusing(network, job) == len(nodes)
        nodes[2].is_down = True
        nodes[3].cluster_state.suspects.note_sound(job)
        await network.run(10)
        nodes[2].is_down = False
        await network.run(CONTACT_S)
        assert not count_refusing(network, job)

    run(scenario, 5, 3)


def test_only_the_planner_tries_a_quarantined_request():
    async def scenario(network):
        job = make_job()
        nodes = list(network.nodes.values())
        nodes[0].cluster_state.suspects.may_try = lambda: True
        await network.run(2)
        for number in range(3):
            crash(nodes[1], f'c{number}', job.suspect_keys)
            await network.run(0.5)
        await network.run(125)
        for expected in (len(nodes) - 1, len(nodes)):
            refusals = [
                node.cluster_state.suspects.find_refusal(make_job())
                for node in nodes
            ]
            assert sum(map(bool, refusals)) == expected

    run(scenario, 5, 3)


def test_control_traffic_is_bounded_while_replicas_crash():
    """Two crashes a second, each with 16 requests in flight."""

    async def scenario(network):
        network.load(60, 222, 30)
        network.set_placement(1, 60, 222)
        await network.run(3)
        nodes = list(network.nodes.values())
        for node in nodes:
            node.sent = 0
            node.received = 0
        for number in range(10):
            for seen_by in range(4):
                node = nodes[(number * 7 + seen_by * 5) % len(nodes)]
                first_key = number * 97 + seen_by * 7
                keys = [f'part:{first_key + index:016x}' for index in range(4)]
                crash(node, f'c{number}', keys)
            await network.run(0.5)
        spent = [(node.sent + node.received) / 5 for node in nodes]
        assert max(spent) < CONTROL_BYTES_PER_S, sorted(spent)[-5:]

    run(scenario, 28, 4)


@pytest.mark.parametrize('loss', [0.0, 0.1])
def test_only_the_parts_that_crash_replicas_are_refused(loss):
    """Two parts crash replicas in the same minutes, beside sound requests.

    The first part is in each crash; it is answered completely elsewhere.
    """

    async def scenario(network):
        nodes = list(network.nodes.values())
        await network.run(3)
        for number in range(8):
            sound = make_job(f'/s{number}', ('first', 'group', 's'))
            nodes[-1].cluster_state.suspects.note_sound(sound)
            part = ('bad1', 'bad2')[number % 2]
            crashing = make_job(f'/p{number}', ('first', part, 'p'))
            beside = make_job(f'/b{number}', ('first', 'group', 'b'))
            keys = crashing.suspect_keys + beside.suspect_keys
            crash(nodes[number % 3], f'c{number}', keys)
            await network.run(0.5)
        await network.run(CONTACT_S)
        for part, expected in (('bad1', 28), ('bad2', 28), ('group', 0)):
            job = make_job('/new', ('first', part, 'new'))
            assert count_refusing(network, job) == expected, part

    run(scenario, 28, 4, loss)


def test_popular_request_is_not_blamed_for_crashes_of_another():
    """The same sound request is in flight at each crash, at any gateway."""

    async def scenario(network):
        popular = make_job('/popular')
        nodes = list(network.nodes.values())
        await network.run(2)
        nodes[-1].cluster_state.suspects.note_sound(popular)
        for number in range(6):
            crashing = make_job('/crashing')
            keys = popular.suspect_keys + crashing.suspect_keys
            crash(nodes[number % 3], f'c{number}', keys)
            await network.run(0.5)
        await network.run(CONTACT_S)
        assert count_refusing(network, crashing) == len(nodes)
        assert not count_refusing(network, popular)

    run(scenario, 5, 3)


def test_first_part_is_not_blamed_for_a_later_one_if_nothing_is_answered():
    """No answer has cleared it, and it is in flight at each crash."""

    async def scenario(network):
        nodes = list(network.nodes.values())
        await network.run(2)
        for number in range(5):
            crashing = make_job(f'/p{number}', ('first', 'bad', 'p'))
            crash(nodes[number % 3], f'c{number}', crashing.suspect_keys)
            await network.run(0.5)
        await network.run(CONTACT_S)
        crashing = make_job('/new', ('first', 'bad', 'new'))
        sound = make_job('/new', ('first', 'good', 'new'))
        assert count_refusing(network, crashing) == len(nodes)
        assert not count_refusing(network, sound)

    run(scenario, 5, 3)


def test_first_part_that_crashes_replicas_with_any_other_is_refused():
    async def scenario(network):
        nodes = list(network.nodes.values())
        await network.run(2)
        for number in range(4):
            parts = ('bad', f'other{number}', 'p')
            crashing = make_job(f'/p{number}', parts)
            crash(nodes[number % 3], f'c{number}', crashing.suspect_keys)
            await network.run(0.5)
        await network.run(CONTACT_S)
        crashing = make_job('/new', ('bad', 'new', 'p'))
        assert count_refusing(network, crashing) == len(nodes)

    run(scenario, 5, 3)


def test_trial_tells_two_parts_apart_that_were_in_flight_together():
    """Nothing was answered; the planner tries one of them at once."""

    async def scenario(network):
        nodes = list(network.nodes.values())
        planner = nodes[0].cluster_state.suspects
        planner.may_try = lambda: True
        await network.run(2)
        for number in range(3):
            crashing = make_job(f'/p{number}', ('first', 'bad', 'p'))
            beside = make_job(f'/s{number}', ('first', 'good', 's'))
            keys = crashing.suspect_keys + beside.suspect_keys
            crash(nodes[1 + number], f'c{number}', keys)
            await network.run(0.5)
        await network.run(1)
        tried = make_job('/t', ('first', 'bad', 't'))
        assert planner.find_refusal(tried) is None
        waiting = make_job('/w', ('first', 'good', 'w'))
        assert planner.find_refusal(waiting)
        crash(nodes[0], 'c3', tried.suspect_keys)
        await network.run(1)
        crashing = make_job('/new', ('first', 'bad', 'new'))
        sound = make_job('/new', ('first', 'good', 'new'))
        assert count_refusing(network, crashing) == len(nodes)
        assert not count_refusing(network, sound)

    run(scenario, 5, 3)
