"""Operators' documents through outages, races and restarts."""

import asyncio
import json
import signal
import sys
from datetime import UTC, datetime

import cattrs
import pytest
import pytest_asyncio

from bramleybeam.documents import encode_applied
from bramleybeam.keyvalue.http import HttpKeyValue
from bramleybeam.operators._apply import read_current
from tests.calls import ask
from tests.documents import make_document
from tests.processes import run_processes

EVERYWHERE_LIMIT_S = 30
pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def cluster(tmp_path_factory):
    """One deployment of real processes for the whole module."""
    folder = tmp_path_factory.mktemp('configuration')
    async with run_processes(folder) as running:
        yield running


async def ctl(cluster, folder, *arguments, service='keyvalue'):
    """Run the operators' client as a process."""
    settings = folder / 'ctl.toml'
    settings.write_text(
        f'keyvalue_url = "{cluster.urls[service]}"\n'
        f'entry_url = "{cluster.urls["entry-0/operators"]}"\n'
        'operator = "olive"\n',
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable, '-m', 'bramleybeam', 'ctl',
        '--settings', str(settings), *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    out, err = await process.communicate()
    return process.returncode, out.decode(), err.decode()


async def wait_revision(cluster, revision):
    """Wait until every process has a revision in force."""
    async with asyncio.timeout(EVERYWHERE_LIMIT_S):
        for entry in cluster.entries:
            while not await has_everywhere(cluster, entry, revision):
                await asyncio.sleep(0.05)


async def has_everywhere(cluster, entry, revision):
    """Whether an entry and all that it is connected to have a revision."""
    status = await cluster.status(entry)
    return set(status['revisions'].values()) == {revision}


def write_document(folder, document):
    """Write a document as TOML."""
    lines = []
    for section, found in cattrs.unstructure(document).items():
        if section == 'drained':
            lines.insert(0, f'drained = {json.dumps(found)}')
            continue
        tables = found if isinstance(found, list | tuple) else [found]
        heading = '[{0}]' if isinstance(found, dict) else '[[{0}]]'
        for table in tables:
            lines.append(heading.format(section))
            lines += [
                f'{key} = {json.dumps(one)}' for key, one in table.items()
            ]
    path = folder / 'document.toml'
    path.write_text('\n'.join(lines))
    return path


async def newest(cluster):
    """Read the newest revision from the service."""
    store = HttpKeyValue(cluster.urls['keyvalue'])
    read = await read_current(store)
    await store.close()
    return read.ok


async def test_apply_reaches_every_process(cluster, tmp_path):
    """A new revision is in force on entries and agents alike."""
    path = write_document(tmp_path, make_document())
    _version, current = await newest(cluster)
    known = current.revision
    code, out, _ = await ctl(
        cluster, tmp_path, 'apply', str(path), '--revision', str(known)
    )
    assert code == 0
    assert f'revision {known + 1} applied' in out
    await wait_revision(cluster, known + 1)
    code, out, _ = await ctl(cluster, tmp_path, 'status')
    assert 'in force on every process' in out


async def test_a_race_names_both_revisions(cluster, tmp_path):
    """The second of two operators learns of the first."""
    path = write_document(tmp_path, make_document())
    _version, current = await newest(cluster)
    known = str(current.revision)
    outcomes = await asyncio.gather(
        *(
            ctl(cluster, tmp_path, 'apply', str(path), '--revision', known)
            for _ in range(4)
        )
    )
    codes = sorted(code for code, _, _ in outcomes)
    assert codes == [0, 3, 3, 3]
    for code, _, err in outcomes:
        if code:
            assert f'Revision {known} is not the newest' in err
            assert f'olive applied {current.revision + 1}' in err


async def test_a_lost_reply_is_read_back(cluster, tmp_path):
    """A write that took effect is recognised by its nonce."""
    path = write_document(tmp_path, make_document())
    _version, current = await newest(cluster)
    faults = f'{cluster.urls["keyvalue"]}/faults'
    await cluster.session.post(
        faults,
        json={'lose_replies': 1, 'lose_prefix': 'configuration'},
    )
    code, out, _ = await ctl(
        cluster, tmp_path, 'apply', str(path), '--revision',
        str(current.revision),
    )  # fmt: skip
    assert code == 0
    assert 'read back' in out
    await wait_revision(cluster, current.revision + 1)


async def test_a_new_entry_learns_from_its_peers(cluster):
    """With the service down a started entry gets the newest revision."""
    _version, current = await newest(cluster)
    await wait_revision(cluster, current.revision)
    faults = f'{cluster.urls["keyvalue"]}/faults'
    await cluster.session.post(faults, json={'down': True})
    await cluster.running['entry-1'].kill()
    await cluster.start_entry('entry-1')
    await cluster.wait_reachable()
    status = await cluster.status('entry-1')
    assert status['revision'] == current.revision
    await cluster.session.post(faults, json={'down': False})


async def test_an_older_revision_never_comes_back(cluster):
    """A service that shows an older revision changes nothing."""
    store = HttpKeyValue(cluster.urls['keyvalue'])
    version, current = await newest(cluster)
    older = encode_applied(current).replace(
        f'"revision":{current.revision}', '"revision":1'
    )
    swapped = await store.swap('configuration/current', older, version)
    assert swapped.is_ok()
    await asyncio.sleep(2)
    for entry in cluster.entries:
        status = await cluster.status(entry)
        assert set(status['revisions'].values()) == {current.revision}
    restored = await store.swap(
        'configuration/current', encode_applied(current), swapped.ok
    )
    assert restored.is_ok()
    await store.close()


async def test_a_drained_upstream_gets_no_new_work(cluster, tmp_path):
    """Draining is a revision like any other; models stay reachable."""
    _version, current = await newest(cluster)
    code, _, err = await ctl(
        cluster, tmp_path, 'drain', 'engine-1', '--revision',
        str(current.revision),
    )  # fmt: skip
    assert code == 0, err
    await wait_revision(cluster, current.revision + 1)
    async with asyncio.timeout(EVERYWHERE_LIMIT_S):
        while (await cluster.status('entry-0'))['unreachable']:
            await asyncio.sleep(0.1)
    status = await cluster.status('entry-0')
    drained = [one for one in status['upstreams'] if one['name'] == 'engine-1']
    assert not drained[0]['usable']


async def test_silent_watches_are_replaced(cluster, tmp_path):
    """Every connection to the service goes silent; a change still arrives.

    A watch is given up two seconds after its wait of 2 s.
    """
    path = write_document(tmp_path, make_document())
    _version, current = await newest(cluster)
    await wait_revision(cluster, current.revision)
    assert cluster.proxies['keyvalue'].silence()
    code, _, err = await ctl(
        cluster, tmp_path, 'apply', str(path), '--revision',
        str(current.revision),
    )  # fmt: skip
    assert code == 0, err
    await wait_revision(cluster, current.revision + 1)


async def test_a_listed_leaving_host_gets_no_new_work(cluster):
    """The platform's list alone is enough of a sign."""
    agent = cluster.proxies['agent-engine-2'].address
    for state, expected in (('leaving', False), ('live', True)):
        await cluster.list_host(
            'agent-engine-2', 'agent', agent, 'west', 'engine-2', state
        )
        async with asyncio.timeout(EVERYWHERE_LIMIT_S):
            while await is_usable(cluster, 'engine-2') != expected:
                await asyncio.sleep(0.05)


async def is_usable(cluster, upstream):
    """Whether the entries would give an upstream new work."""
    status = await cluster.status('entry-0')
    return [
        one['usable'] for one in status['upstreams'] if one['name'] == upstream
    ] == [True]


@pytest.mark.parametrize(
    ('line', 'said'),
    [
        ('zone = ""', 'zone'),
        ('listen = "somewhere:80"', 'IP:PORT with a numeric IP address'),
        ('keyvalue_url = "http://name/"', 'http://IP:PORT'),
        ('shutdown_s = -1', 'a number from 0 to 3600 s'),
        ('weights = 3', 'weights'),
        ('tls = {certificate = "/nowhere"}', 'a file that can be read'),
        ('log_level = "loud"', 'one of debug, info, warning, error'),
    ],
)
async def test_bad_settings_end_the_process(tmp_path, line, said):
    """The message names the key and what is allowed; no port opens."""
    good = {
        'name': '"entry-9"',
        'zone': '"east"',
        'region': '"test"',
        'keyvalue_url': '"http://127.0.0.1:1"',
        'hosts_url': '"http://127.0.0.1:1"',
    }
    key, _, found = line.partition(' = ')
    good[key] = found
    path = tmp_path / 'entry.toml'
    path.write_text('\n'.join(f'{name} = {one}' for name, one in good.items()))
    process = await asyncio.create_subprocess_exec(
        sys.executable, '-m', 'bramleybeam', 'entry', '--settings', str(path),
        stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    _, err = await process.communicate()
    assert process.returncode == 2
    assert said in err.decode()
    assert 'entry_started' not in err.decode()


async def test_the_report_proves_what_was_in_force(cluster, tmp_path):
    """Counts and revisions outlive the entries that wrote them."""
    answer = await ask(
        cluster.session, cluster.urls['entry-1'], 'drafter-b', 'x'
    )
    assert not answer.error
    _version, current = await newest(cluster)
    for name in cluster.entries:
        cluster.running[name].signal(signal.SIGTERM)
        assert await cluster.running[name].wait() == 0
    now = datetime.now(UTC)
    times = ('--from', now.strftime('%Y-%m-%d'), '--to',
             now.strftime('%Y-%m-%dT%H:%M:%S'))  # fmt: skip
    code, out, err = await ctl(cluster, tmp_path, 'report', *times)
    assert code == 0, err
    shaped = json.loads(out)
    assert shaped['classes']['question']['requests'] >= 1
    assert shaped['moves'] >= 1
    revisions = {one['revision'] for one in shaped['in_force']}
    assert current.revision in revisions
    page = tmp_path / 'report.html'
    code, _, err = await ctl(
        cluster, tmp_path, 'report', *times, '--page', str(page)
    )
    assert code == 0, err
    assert '<meter' in page.read_text()
