"""Faults that occur in the middle of a stream, on real processes."""

import asyncio
import signal

import pytest
import pytest_asyncio

from tests.calls import ask, expected_text, post
from tests.processes import run_processes
from tests.proxy import Fault

STREAMS = 12


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def cluster(tmp_path_factory):
    """Yield one deployment of real processes for the whole module."""
    folder = tmp_path_factory.mktemp('processes')
    async with run_processes(folder) as running:
        yield running


async def cut_agents(cluster):
    """Reset the open connections to every agent of an engine."""
    for name, proxy in cluster.proxies.items():
        if name.startswith('agent-engine'):
            proxy.cut()


async def silence_agents(cluster, fault=Fault.SILENT):
    """Silence the open connections to every agent of an engine."""
    for name, proxy in cluster.proxies.items():
        if name.startswith('agent-engine'):
            proxy.silence(fault)


async def silence_forward(cluster):
    """Drop what the entries send to the agents on open connections."""
    await silence_agents(cluster, Fault.SILENT_FORWARD)


async def silence_backward(cluster):
    """Drop what the agents send to the entries on open connections."""
    await silence_agents(cluster, Fault.SILENT_BACKWARD)


async def pause_agent(cluster):
    """Pause the agent of the busiest engine for 4 s."""
    agent = cluster.running[f'agent-{await find_busiest(cluster)}']
    agent.signal(signal.SIGSTOP)
    loop = asyncio.get_running_loop()
    loop.call_later(4, agent.signal, signal.SIGCONT)


async def kill_agent(cluster):
    """Kill the agent of the busiest engine and start a new one."""
    name = await find_busiest(cluster)
    await cluster.running[f'agent-{name}'].kill()
    await cluster.start_agent(name, cluster.proxies[name].url)


async def cut_upstream(cluster):
    """Reset the open connections between the busiest engine and its agent."""
    cluster.proxies[await find_busiest(cluster)].cut()


async def find_busiest(cluster):
    """Return the name of the engine with the most requests in flight."""
    status = await cluster.status('entry-0')
    engines = [
        row for row in status['upstreams'] if row['name'].startswith('engine')
    ]
    return max(engines, key=lambda row: row['in_flight'])['name']


@pytest.mark.asyncio(loop_scope='module')
@pytest.mark.parametrize(
    'inject_fault',
    [
        cut_agents,
        silence_agents,
        silence_forward,
        silence_backward,
        pause_agent,
        kill_agent,
        cut_upstream,
    ],
)
async def test_streams_complete_despite_a_fault(cluster, inject_fault):
    """Each idempotent stream completes with exactly the expected text.

    At least one attempt is reattached or retried.
    """
    await cluster.wait_reachable()
    before = await count_recoveries(cluster)
    begun = asyncio.Event()
    models = ('drafter-a', 'drafter-b', 'council-a')
    streams = [
        asyncio.create_task(
            ask(
                cluster.session,
                cluster.urls[f'entry-{index % 2}'],
                models[index % 3],
                f'{inject_fault.__name__} {index}',
                begun=begun,
            ),
        )
        for index in range(STREAMS)
    ]
    await begun.wait()
    await inject_fault(cluster)
    answers = await asyncio.gather(*streams)
    for index, answer in enumerate(answers):
        prompt = f'{inject_fault.__name__} {index}'
        assert not answer.error
        assert answer.text == expected_text(models[index % 3], prompt)
    assert await count_recoveries(cluster) > before


@pytest.mark.asyncio(loop_scope='module')
async def test_a_repeat_through_another_entry_runs_once(cluster):
    """Another entry replays the stored answer; the ledger runs it once."""
    first = await post(cluster.session, cluster.urls['entry-0'], 'repeat-1')
    second = await post(cluster.session, cluster.urls['entry-1'], 'repeat-1')
    assert first.status == second.status == 201
    assert second.text == first.text
    assert second.replayed
    assert (await ledger_counts(cluster))['repeat-1'] == 1


@pytest.mark.asyncio(loop_scope='module')
async def test_concurrent_repeats_run_once(cluster):
    """Of concurrent postings with the same key through two entries, one runs.

    No refusal reports that the posting has not run.
    """
    answers = await asyncio.gather(
        *(
            post(cluster.session, cluster.urls[f'entry-{index % 2}'], 'crowd-1')
            for index in range(20)
        )
    )
    assert any(answer.status == 201 for answer in answers)
    for answer in answers:
        assert answer.status == 201 or not answer.not_run
    assert (await ledger_counts(cluster))['crowd-1'] == 1


async def count_recoveries(cluster):
    """Return the number of attempts that were reattached or retried."""
    statuses = [await cluster.status(name) for name in cluster.entries]
    return sum(row['reattached'] + row['retried'] for row in statuses)


async def ledger_counts(cluster):
    """Return the number of runs for each key, as counted by the ledger."""
    url = cluster.urls['book-1']
    async with cluster.session.get(f'{url}/postings') as response:
        return await response.json()
