"""A small deployment on loopback: store, replicas and gateways as processes.

The settings are those of standpipe-permits, with its bounds. The gateways are
started with the command of deploy/system.toml; the store and the replicas are the
project's own stand-ins, in the process of the script.
"""

import asyncio
import contextlib
import ctypes
import json
import os
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

from tests.platform_replica import ReplicaStandIn
from tests.platform_site import make_route
from tests.platform_store import StoreStandIn

ROOT = Path(__file__).resolve().parents[1]
MEMORY_MB = 300
MAX_FDS = 4100
SETTINGS = """
node = "{node}"
role = "gateway"
machine-class = "front"
serves = ["front"]
ip-address = "127.0.0.1"
zone = "derwent"
region = "lutruwita-south"
port-range = [{port}, {port}]
seed-addrs = []
bootstrap = true
in-tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
[zones]
derwent = "lutruwita-south"
[listen-addrs]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
[limits]
cpu-share = 0.817
cpu-cores = 1
memory-mb = {memory}
max-fds = {fds}
link-mbps = 1000.0
disk-mb = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-period-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
outer-ms = 5000
retry-ratio = 0.2
retry-window-s = 10
retry-slack = 54
recover-s = 12
pass-ms = 120
again-s = 0
require-fence = true
lease-ms = 3000
thaw-slack-ms = 300
ceiling-window-s = 5
ceiling-over = 1.1
[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""


def make_configuration(version=1):
    """The routes of standpipe-permits that a case needs, with its deadlines."""
    model = {
        'name': 'm1',
        'weights-mb': 70_000.0,
        'load-s': 2.3,
        'adapters': 0,
        'adapter-mb': 10.0,
    }
    return {
        'version': version,
        'routes': [
            make_route(
                'permit-issue',
                'permit-ledger',
                'non_idempotent',
                attempts=1,
                **{'timeout-ms': 4000, 'goal-ms': 400},
            ),
            make_route(
                'permit-lookup',
                'permit-ledger',
                'idempotent',
                **{'timeout-ms': 4000, 'goal-ms': 400},
            ),
            make_route(
                'hydrant-query',
                'drafting-models',
                'streaming',
                resumable=True,
                **{'timeout-ms': 10_000, 'goal-ms': 400, 'gap-aim-ms': 250},
            ),
        ],
        'services': [
            {
                'name': 'permit-ledger',
                'health-path': '/health',
                'max-conns': 100,
            },
            {
                'name': 'drafting-models',
                'health-path': '/health',
                'max-conns': 360,
                'engine': {
                    'slots': 64,
                    'kv-capacity': 147_322,
                    'weights-mb': 230_000.0,
                    'adapter-slots': 8,
                    'loads-per-s': 1.8,
                    'models': [model],
                },
            },
        ],
        'limits': {
            'header-bytes': 16_384,
            'max-body-bytes': 4_194_304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15_000,
        },
    }


_libc = ctypes.CDLL(None)
_PR_SET_PDEATHSIG = 1


def _end_with_parent():
    """Let a process that was started get SIGKILL when the script ends."""
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


async def start_process(*command, **options):
    """Start a process that ends with the script, however that ends."""
    return await asyncio.create_subprocess_exec(
        *command,
        stdout=asyncio.subprocess.PIPE,
        preexec_fn=_end_with_parent,
        **options,
    )


def free_port():
    """A UDP port that is free now."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._began = time.monotonic()

    def note(self, text):
        self._file.write(f'{time.monotonic() - self._began:8.3f}  {text}\n')
        self._file.flush()


class Gateway:
    """One gateway process; its JSON log lines are kept."""

    def __init__(self, process):
        self.process = process
        self.callers = ''
        self.ready = ''
        self.log = []
        self.started = asyncio.Event()
        self.reader = asyncio.create_task(self._read())

    async def _read(self):
        async for line in self.process.stdout:
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            if len(self.log) < 200_000:
                self.log.append(entry)
            if entry.get('event') == 'started':
                self.callers = entry['callers']
                self.ready = entry['readiness']
                self.started.set()

    def events(self, name):
        return [entry for entry in self.log if entry.get('event') == name]

    @property
    def port(self):
        return int(self.callers.rpartition(':')[2])

    async def is_ready(self):
        """Whether the readiness check gets 200."""
        host, _, port = self.ready.rpartition(':')
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b'GET /api/readiness HTTP/1.1\r\nHost: a\r\n'
                    b'Connection: close\r\n\r\n'
                )
                line = await reader.readline()
                writer.close()
                return b' 200 ' in line
        except (OSError, TimeoutError):
            return False


class Site:
    """The store, the replicas and the gateways of one run."""

    def __init__(self):
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = StoreStandIn()
        self.replicas = {}
        self.gateways = []

    async def start(self, ledgers=2, engines=1):
        await self.store.start()
        self.store.put('op/config', make_configuration())
        for number in range(ledgers):
            await self.add(ReplicaStandIn(f'i-led{number}', 'permit-ledger'))
        for number in range(engines):
            await self.add(
                ReplicaStandIn(
                    f'i-eng{number}',
                    'drafting-models',
                    models={'m1': frozenset()},
                )
            )

    async def add(self, replica):
        replica.zone = 'derwent'
        await replica.start()
        self.replicas[replica.name] = replica
        self.write_entry(replica)
        return replica

    def write_entry(self, replica, **changed):
        slots = 6 if replica.service == 'permit-ledger' else 64
        entry = replica.entry(**{'slots': slots, **changed})
        self.store.put(f'servers/{replica.name}', entry)

    async def start_gateway(self, node='front-derwent-1', memory=MEMORY_MB):
        settings = self.folder / f'{node}.toml'
        settings.write_text(
            SETTINGS.format(
                node=node,
                port=free_port(),
                memory=memory,
                fds=MAX_FDS,
                store=self.store.address,
            )
        )
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/tmp'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'BRAMLEYBEAM_NODE_FILE': str(settings),
            'BRAMLEYBEAM_METRICS_ADDRESS': '127.0.0.1:0',
        }
        process = await start_process(
            'python3',
            '-m',
            'bramleybeam.gateway',
            cwd=ROOT,
            env=environment,
            limit=1 << 22,
        )
        gateway = Gateway(process)
        self.gateways.append(gateway)
        await asyncio.wait_for(gateway.started.wait(), 30)
        async with asyncio.timeout(30):
            while not await gateway.is_ready():
                await asyncio.sleep(0.05)
        return gateway

    def runs(self, prefix):
        """The runs of requests whose id begins so, at all replicas."""
        return [
            run
            for replica in self.replicas.values()
            for run in replica.runs
            if run.request_id.startswith(prefix)
        ]

    def record_runs(self, record):
        """Write what the replicas in this process have run."""
        for replica in self.replicas.values():
            ids = ' '.join(run.request_id for run in replica.runs)
            record.note(f'{replica.name} ran {len(replica.runs)}: {ids}')

    async def close(self):
        own = os.getpid()
        children = Path(f'/proc/{own}/task/{own}/children').read_text()
        for child in children.split():
            with contextlib.suppress(ProcessLookupError):
                os.kill(int(child), signal.SIGKILL)
        for gateway in self.gateways:
            with contextlib.suppress(ProcessLookupError):
                gateway.process.kill()
            await gateway.process.wait()
        for replica in self.replicas.values():
            with contextlib.suppress(Exception):
                await replica.close()
        with contextlib.suppress(Exception):
            await self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(case, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else 2."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(folder) / 'record.txt')
    record.note(f'trouble: {has_trouble}')

    async def guarded():
        if resource.getrlimit(resource.RLIMIT_NOFILE)[0] < MAX_FDS:
            raise RuntimeError(f'fewer than {MAX_FDS} descriptors')
        site = Site()
        # Interrupted, the case ends its processes too.
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(110):
                return await case(site, record, has_trouble)
        finally:
            site.record_runs(record)
            await site.close()

    try:
        broken = asyncio.run(guarded())
    except BaseException as error:
        record.note(f'could not run: {error!r}')
        print(f'could not run: {error!r}', file=sys.stderr)
        sys.exit(2)
    record.note('rule broken' if broken else 'rule held')
    print('rule broken' if broken else 'rule held')
    sys.exit(1 if broken else 0)
