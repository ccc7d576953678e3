"""What the cases share: the store, gateways, replicas, clients and the record.

The store is the project's own stand-in (tests/platform_store.py). Replicas are
processes of replica.py. Gateways are started by the command of the deploy file.
"""

import asyncio
import ctypes
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

import attrs

from tests.platform_store import StoreStandIn

HERE = Path(__file__).parent
ROOT = HERE.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# As in the site of the permit office; one machine in one zone.
SETTINGS = """
node = "front-derwent-1"
role = "gateway"
machine-class = "front"
serves = ["front"]
ip-address = "127.0.0.1"
zone = "derwent"
region = "lutruwita-south"
port-range = [0, 0]
discovery = "platform"
[zones]
derwent = "lutruwita-south"
[listen-addrs]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
[limits]
cpu-share = 0.817
cpu-cores = 1
memory-mb = 300
max-fds = 4100
link-mbps = 1000.0
[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
[bounds]
contact-ms = 3000
drain-ms = 2000
grace-period-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
retry-ratio = 0.2
retry-window-s = 10
retry-slack = 54
require-fence = true
lease-ms = 3000
ceiling-window-s = 5
ceiling-over = 1.1
"""
ROUTE = {
    'host': 'permits.example',
    'service': 'permit-ledger',
    'timeout-ms': 2000,
    'goal-ms': 400,
    'priority': 2,
    'attempts': 1,
}
STREAM = {
    'kind': 'streaming',
    'service': 'drafting-models',
    'timeout-ms': 15000,
    'goal-ms': 500,
    'priority': 1,
    'gap-aim-ms': 250,
    'session-affinity': True,
}
MODEL = {
    'name': 'm0',
    'weights-mb': 65_100.0,
    'load-s': 2.2,
    'warm-s': 1.1,
    'disk-s': 1.4,
    'adapters': 0,
    'adapter-mb': 12.0,
}
CONFIGURATION = {
    'version': 7,
    'routes': [
        ROUTE
        | {'name': 'permit-issue', 'prefix': '/permit-issue/', 'kind': 'non_idempotent'},
        ROUTE
        | {'name': 'permit-lookup', 'prefix': '/permit-lookup/', 'kind': 'idempotent'}
        | {'attempts': 2},
        ROUTE
        | STREAM
        | {'name': 'condition-draft', 'prefix': '/condition-draft/'},
    ],
    'services': [
        {'name': 'permit-ledger', 'health-path': '/health', 'max-conns': 100},
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
                'models': [MODEL],
            },
        },
    ],
    'limits': {
        'header-bytes': 16384,
        'max-body-bytes': 1048576,
        'header-timeout-ms': 5000,
        'idle-timeout-ms': 20000,
    },
}


_LIBC = ctypes.CDLL(None)


def end_with_parent() -> None:
    """Let the system end this new process when the one that started it ends."""
    parent_death_signal = 1
    _LIBC.prctl(parent_death_signal, signal.SIGKILL)


class Record:
    """Writes what happens to record.txt in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._began = time.monotonic()

    def note(self, text: str) -> None:
        self._file.write(f'{time.monotonic() - self._began:9.3f}  {text}\n')
        self._file.flush()

    def say(self, text: str) -> None:
        self.note(text)
        print(text, flush=True)


@attrs.define(eq=False)
class Process:
    """A process that the case has started; ``rows`` are its lines of output."""

    process: asyncio.subprocess.Process
    name: str
    rows: list = attrs.field(factory=list)
    reader: asyncio.Task | None = None

    def events(self, event: str) -> list:
        return [row for row in self.rows if row.get('event') == event]

    def signal(self, number: signal.Signals) -> None:
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        await self.process.wait()


@attrs.define(eq=False)
class Replica(Process):
    port: int = 0
    born: int = 0
    entry: dict = attrs.field(factory=dict)

    @property
    def address(self) -> str:
        return f'127.0.0.1:{self.port}'


@attrs.define(eq=False)
class Gateway(Process):
    callers: str = ''
    readiness: str = ''


class Rig:
    """The store, the processes and the record of one run of a case."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.store = StoreStandIn()
        self.started: list[Process] = []
        self.replicas: dict[str, Replica] = {}
        self._folder = tempfile.TemporaryDirectory()

    async def __aenter__(self) -> 'Rig':
        await self.store.start()
        self.store.put('op/config', CONFIGURATION)
        return self

    async def __aexit__(self, *_) -> None:
        for process in self.started:
            if process.process.returncode is None:
                await process.kill()
        await self.store.close()
        self._folder.cleanup()

    async def start_replica(self, name: str, *options: str, **entry) -> Replica:
        """Start a replica and write its entry."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, '-B', str(HERE / 'replica.py'), name, *options,
            stdout=asyncio.subprocess.PIPE,
            preexec_fn=end_with_parent,
        )
        replica = Replica(process, name)
        self.started.append(replica)
        replica.port = int(await process.stdout.readline())
        replica.born = int(time.time() * 1000)
        replica.reader = asyncio.create_task(self._read(replica))
        self.replicas[name] = replica
        self.write_entry(replica, **entry)
        return replica

    def write_entry(self, replica: Replica, **changed) -> None:
        replica.entry = {
            'service': 'permit-ledger',
            'address': replica.address,
            'zone': 'derwent',
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'cold-left-ms': 0,
            'born': replica.born,
            **replica.entry,
            **changed,
        }
        replica.entry['sequence'] = replica.entry.get('sequence', 0) + 1
        self.store.put(f'servers/{replica.name}', replica.entry)
        self.record.note(
            f'entry of {replica.name}: {replica.entry["state"]}'
            f' {replica.entry.get("models", "")}'
        )

    def remove_entry(self, name: str) -> None:
        self.store.remove(f'servers/{name}')
        self.record.note(f'entry of {name} is removed')

    async def start_gateway(self, name: str = 'front-derwent-1') -> Gateway:
        """Start a gateway by the command of the deploy file."""
        settings = Path(self._folder.name) / f'{name}.toml'
        text = SETTINGS.format(store=self.store.address)
        settings.write_text(text.replace('front-derwent-1', name))
        process = await asyncio.create_subprocess_exec(
            sys.executable, '-B', '-m', 'bramleybeam.gateway',
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'BRAMLEYBEAM_NODE_FILE': str(settings),
                'BRAMLEYBEAM_METRICS_ADDRESS': '127.0.0.1:0',
            },
            stdout=asyncio.subprocess.PIPE,
            preexec_fn=end_with_parent,
            limit=1 << 20,
        )
        gateway = Gateway(process, name)
        self.started.append(gateway)
        gateway.reader = asyncio.create_task(self._read(gateway))
        async with asyncio.timeout(30):
            while not gateway.events('started'):
                await asyncio.sleep(0.02)
        line = gateway.events('started')[0]
        gateway.callers, gateway.readiness = line['callers'], line['readiness']
        async with asyncio.timeout(30):
            while await self._readiness(gateway) != 200:
                await asyncio.sleep(0.05)
        self.record.note(f'gateway {name} is ready, process {process.pid}')
        return gateway

    async def _readiness(self, gateway: Gateway) -> int:
        host, _, port = gateway.readiness.rpartition(':')
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b'GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return int(line.split()[1])
        except (OSError, TimeoutError, IndexError):
            return 0

    async def _read(self, process: Process) -> None:
        while True:
            try:
                line = await process.process.stdout.readline()
            except ValueError:
                continue
            if not line:
                return
            try:
                row = json.loads(line)
            except ValueError:
                continue
            process.rows.append(row)
            if isinstance(process, Replica):
                self.record.note(f'{process.name}: {row["event"]} {row["request"]}')
                if row['event'] == 'models':
                    self.write_entry(process, models=row['models'])


@attrs.define
class Answer:
    """What a client saw: ``end`` is 'whole', 'cut', 'closed' or 'silent' (no answer)."""

    request_id: str
    route: str
    end: str
    status: int = 0
    headers: dict = attrs.field(factory=dict)
    body: bytes = b''
    on_kept: bool = False


class Client:
    """Sends requests one after the other on a connection that it keeps."""

    def __init__(self, rig: Rig, address: str) -> None:
        self._rig = rig
        self.address = address
        self._streams = None
        self._served = 0

    def close(self) -> None:
        if self._streams:
            self._streams[1].close()
        self._streams = None

    async def ask(
        self, request_id: str, route: str, deadline_ms: int = 4000, rest: str = 'a'
    ) -> Answer:
        on_kept = self._streams is not None and self._served > 0
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                answer = await self._ask(request_id, route, deadline_ms, rest)
        except TimeoutError:
            answer = Answer(request_id, route, 'silent')
        except (OSError, asyncio.IncompleteReadError):
            answer = Answer(request_id, route, 'closed')
        answer.on_kept = on_kept
        self._served += 1
        if answer.end != 'whole' or answer.headers.get('connection') == 'close':
            self.close()
            self._served = 0
        self._rig.record.note(
            f'client: {route} {request_id} {answer.end} {answer.status}'
            f' {len(answer.body)} bytes'
        )
        return answer

    async def _ask(
        self, request_id: str, route: str, deadline_ms: int, rest: str
    ) -> Answer:
        if self._streams is None:
            host, _, port = self.address.rpartition(':')
            self._streams = await asyncio.open_connection(host, int(port))
        reader, writer = self._streams
        is_get = route == 'permit-lookup'
        body = b'' if is_get else b'{"permit": 1}'
        lines = [
            f'{"GET" if is_get else "POST"} /{route}/{rest} HTTP/1.1',
            'Host: permits.example',
            f'Bramleybeam-Request-Id: {request_id}',
            f'Bramleybeam-Request-Deadline: {deadline_ms}',
        ]
        if route == 'condition-draft':
            lines += [
                'Bramleybeam-Model: m0',
                'Bramleybeam-Token-Counts: 1460,172',
                f'Bramleybeam-Prompt-Prefix: 5c1e07a2:210,91bd3f06:140,{request_id[-8:]}:1110',
            ]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        self._rig.record.note(f'client: sends {route} {request_id}')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').split('\r\n')
        status = int(head[0].split()[1])
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(':')
            # Of fields with the same name, the first counts.
            headers.setdefault(name.lower(), value.strip())
        answer = Answer(request_id, route, 'whole', status, headers)
        try:
            if 'content-length' in headers:
                answer.body = await reader.readexactly(int(headers['content-length']))
            else:
                while size := int(await reader.readline(), 16):
                    answer.body += (await reader.readexactly(size + 2))[:-2]
                await reader.readline()
        except (ValueError, OSError, asyncio.IncompleteReadError):
            answer.end = 'cut'
        return answer


async def run(folder: Path, case) -> int:
    """Run a case; return the exit status. A stop ends all that was started."""
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(110):
            async with Rig(folder) as rig:
                try:
                    return 1 if await case(rig) else 0
                except Exception as error:
                    rig.record.say(f'the case could not run: {error!r}')
                    return 2
    except TimeoutError:
        print('the case could not run: out of time')
        return 2
    except asyncio.CancelledError:
        print('the case was stopped')
        return 2
    except Exception as error:
        print(f'the case could not run: {error!r}')
        return 2
