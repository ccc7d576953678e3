"""Operators' documents during outages, concurrent writes and restarts."""

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

PROPAGATION_LIMIT_S = 30
pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def cluster(tmp_path_factory):
    """Yield one deployment of real processes for the whole module."""
    folder = tmp_path_factory.mktemp('configuration')
    async with run_processes(folder) as running:
        yield running


async def ctl(cluster, folder, *arguments, service='keyvalue'):
    """Run the operators' client; return exit code, output and errors."""
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
    """Wait until a revision is in force on every process."""
    async with asyncio.timeout(PROPAGATION_LIMIT_S):
        for entry in cluster.entries:
            while not await is_in_force(cluster, entry, revision):
                await asyncio.sleep(0.05)


async def is_in_force(cluster, entry, revision):
    """Return whether a revision is in force on an entry and all its peers."""
    status = await cluster.status(entry)
    return set(status['revisions'].values()) == {revision}


def write_document(folder, document):
    """Write a document as TOML and return the path of the file."""
    lines = []
    for section, content in cattrs.unstructure(document).items():
        if section == 'drained':
            lines.insert(0, f'drained = {json.dumps(content)}')
            continue
        tables = content if isinstance(content, list | tuple) else [content]
        heading = '[{0}]' if isinstance(content, dict) else '[[{0}]]'
        for table in tables:
            lines.append(heading.format(section))
            lines += [
                f'{key} = {json.dumps(field)}' for key, field in table.items()
            ]
    path = folder / 'document.toml'
    path.write_text('\n'.join(lines))
    return path


async def read_newest(cluster):
    """Return the newest revision and its version in the key-value service."""
    store = HttpKeyValue(cluster.urls['keyvalue'])
    read = await read_current(store)
    await store.close()
    return read.ok


async def test_apply_reaches_every_process(cluster, tmp_path):
    """A new revision comes into force on all entries and agents."""
    path = write_document(tmp_path, make_document())
    _version, current = await read_newest(cluster)
    base_revision = current.revision
    code, out, _ = await ctl(
        cluster, tmp_path, 'apply', str(path), '--revision', str(base_revision)
    )
    assert code == 0
    assert f'revision {base_revision + 1} applied' in out
    await wait_revision(cluster, base_revision + 1)
    code, out, _ = await ctl(cluster, tmp_path, 'status')
    assert 'in force on every process' in out


async def test_concurrent_applies_name_both_revisions(cluster, tmp_path):
    """Of concurrent applications one succeeds; the others fail.

    Their error messages name their outdated revision and the newer one.
    """
    path = write_document(tmp_path, make_document())
    _version, current = await read_newest(cluster)
    base_revision = str(current.revision)
    outcomes = await asyncio.gather(
        *(
            ctl(
                cluster,
                tmp_path,
                'apply',
                str(path),
                '--revision',
                base_revision,
            )
            for _ in range(4)
        )
    )
    codes = sorted(code for code, _, _ in outcomes)
    assert codes == [0, 3, 3, 3]
    for code, _, err in outcomes:
        if code:
            assert f'Revision {base_revision} is not the newest' in err
            assert f'olive applied {current.revision + 1}' in err


async def test_a_write_with_a_lost_reply_is_read_back(cluster, tmp_path):
    """A write whose reply was lost is recognised by its nonce."""
    path = write_document(tmp_path, make_document())
    _version, current = await read_newest(cluster)
    faults_url = f'{cluster.urls["keyvalue"]}/faults'
    await cluster.session.post(
        faults_url,
        json={'lose_replies': 1, 'lose_prefix': 'configuration'},
    )
    code, out, _ = await ctl(
        cluster, tmp_path, 'apply', str(path), '--revision',
        str(current.revision),
    )  # fmt: skip
    assert code == 0
    assert 'read back' in out
    await wait_revision(cluster, current.revision + 1)


async def test_a_new_entry_gets_the_revision_from_its_peers(cluster):
    """An entry gets the revision from peers while the service is down."""
    _version, current = await read_newest(cluster)
    await wait_revision(cluster, current.revision)
    faults_url = f'{cluster.urls["keyvalue"]}/faults'
    await cluster.session.post(faults_url, json={'down': True})
    await cluster.running['entry-1'].kill()
    await cluster.start_entry('entry-1')
    await cluster.wait_reachable()
    status = await cluster.status('entry-1')
    assert status['revision'] == current.revision
    await cluster.session.post(faults_url, json={'down': False})


async def test_an_older_revision_is_ignored(cluster):
    """An older revision in the key-value service changes nothing."""
    store = HttpKeyValue(cluster.urls['keyvalue'])
    version, current = await read_newest(cluster)
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
    """A drained upstream is not usable, and all models stay reachable.

    Draining makes a new revision.
    """
    _version, current = await read_newest(cluster)
    code, _, err = await ctl(
        cluster, tmp_path, 'drain', 'engine-1', '--revision',
        str(current.revision),
    )  # fmt: skip
    assert code == 0, err
    await wait_revision(cluster, current.revision + 1)
    async with asyncio.timeout(PROPAGATION_LIMIT_S):
        while (await cluster.status('entry-0'))['unreachable']:
            await asyncio.sleep(0.1)
    status = await cluster.status('entry-0')
    drained = [row for row in status['upstreams'] if row['name'] == 'engine-1']
    assert not drained[0]['usable']


async def test_silent_watches_are_replaced(cluster, tmp_path):
    """A change arrives although open connections to the service are silent.

    The client abandons a watch 2 s after the end of its wait of 2 s.
    """
    path = write_document(tmp_path, make_document())
    _version, current = await read_newest(cluster)
    await wait_revision(cluster, current.revision)
    assert cluster.proxies['keyvalue'].silence()
    code, _, err = await ctl(
        cluster, tmp_path, 'apply', str(path), '--revision',
        str(current.revision),
    )  # fmt: skip
    assert code == 0, err
    await wait_revision(cluster, current.revision + 1)


async def test_a_listed_leaving_host_gets_no_new_work(cluster):
    """A host that the platform lists as leaving is not usable.

    The agent itself doesn't report that it leaves.
    """
    agent = cluster.proxies['agent-engine-2'].address
    for state, expected in (('leaving', False), ('live', True)):
        await cluster.register_host(
            'agent-engine-2', 'agent', agent, 'west', 'engine-2', state
        )
        async with asyncio.timeout(PROPAGATION_LIMIT_S):
            while await is_usable(cluster, 'engine-2') != expected:
                await asyncio.sleep(0.05)


async def is_usable(cluster, upstream):
    """Return whether entry-0 would send new work to an upstream."""
    status = await cluster.status('entry-0')
    return [
        row['usable'] for row in status['upstreams'] if row['name'] == upstream
    ] == [True]


@pytest.mark.parametrize(
    ('line', 'expected_error'),
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
async def test_bad_settings_end_the_process(tmp_path, line, expected_error):
    """The process ends with exit code 2 before it opens a port.

    Its message names the parameter or what is allowed.
    """
    parameters = {
        'name': '"entry-9"',
        'zone': '"east"',
        'region': '"test"',
        'keyvalue_url': '"http://127.0.0.1:1"',
        'hosts_url': '"http://127.0.0.1:1"',
    }
    key, _, setting = line.partition(' = ')
    parameters[key] = setting
    path = tmp_path / 'entry.toml'
    path.write_text(
        '\n'.join(f'{name} = {text}' for name, text in parameters.items())
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable, '-m', 'bramleybeam', 'entry', '--settings', str(path),
        stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    _, err = await process.communicate()
    assert process.returncode == 2
    assert expected_error in err.decode()
    assert 'entry_started' not in err.decode()


async def test_the_report_has_counts_and_revisions_in_force(cluster, tmp_path):
    """Counts and revisions stay in the report after their entries stopped."""
    answer = await ask(
        cluster.session, cluster.urls['entry-1'], 'drafter-b', 'x'
    )
    assert not answer.error
    _version, current = await read_newest(cluster)
    for name in cluster.entries:
        cluster.running[name].signal(signal.SIGTERM)
        assert await cluster.running[name].wait() == 0
    now = datetime.now(UTC)
    times = ('--from', now.strftime('%Y-%m-%d'), '--to',
             now.strftime('%Y-%m-%dT%H:%M:%S'))  # fmt: skip
    code, out, err = await ctl(cluster, tmp_path, 'report', *times)
    assert code == 0, err
    report = json.loads(out)
    assert report['classes']['question']['requests'] >= 1
    assert report['moves'] >= 1
    revisions = {row['revision'] for row in report['in_force']}
    assert current.revision in revisions
    page = tmp_path / 'report.html'
    code, _, err = await ctl(
        cluster, tmp_path, 'report', *times, '--page', str(page)
    )
    assert code == 0, err
    assert '<meter' in page.read_text()
