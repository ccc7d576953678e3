"""A gateway as a process of its own, and callers of it."""

import asyncio
import json
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, closing
from pathlib import Path

import attrs

from bramleybeam.relay import BrokenReplyError, PeerConnection, connect_peer


@attrs.frozen
class Answer:
    """What a caller got; ``broken`` tells that it ended early."""

    status: int
    headers: dict
    body: bytes
    broken: bool = False


@attrs.define(eq=False)
class GatewayProcess:
    """A gateway as a process of its own, with the log that it wrote."""

    process: asyncio.subprocess.Process
    callers: str = ''
    readiness: str = ''
    log: list = attrs.field(factory=list)
    _reader: asyncio.Task | None = None

    async def read_log(self, started: asyncio.Event) -> None:
        """Collect the JSON lines of standard output."""
        async for line in self.process.stdout:
            shown = json.loads(line)
            self.log.append(shown)
            if shown['event'] == 'started':
                self.callers = shown['callers']
                self.readiness = shown['readiness']
                started.set()

    def events(self, name: str) -> list:
        """Return the log lines of one event."""
        return [line for line in self.log if line['event'] == name]

    async def wait_ready(self) -> None:
        """Wait until the balancer would send callers here."""
        async with asyncio.timeout(30):
            while (await self.is_ready()) != 200:
                await asyncio.sleep(0.02)

    async def is_ready(self) -> int:
        """Ask as the balancer does; 0 when nobody answers."""
        try:
            call = await connect_peer(self.readiness, 1)
            with closing(call):
                call.send(b'GET /api/readiness HTTP/1.1', (), b'')
                return (await call.read_head()).status
        except (OSError, BrokenReplyError):
            return 0

    async def ask_as(
        self, request_id: str, path: str, method='POST', **headers
    ) -> Answer:
        """Send a request under an id of the test's choice."""
        async with self.send(request_id, path, method, **headers) as call:
            return await _read_answer(call)

    @asynccontextmanager
    async def send(
        self, request_id: str, path: str, method='POST', **headers
    ) -> AsyncIterator[PeerConnection]:
        """Send a request; the caller leaves at the end of the block."""
        named = {
            'Host': 'desk.example',
            'Bramleybeam-Request-Id': request_id,
            'Bramleybeam-Request-Deadline': '4000',
            **{key.replace('_', '-'): field for key, field in headers.items()},
        }
        encoded = tuple(
            (key.encode(), field.encode()) for key, field in named.items()
        )
        call = await connect_peer(self.callers, 1)
        with closing(call):
            body = b'' if method == 'GET' else b'body'
            call.send(f'{method} {path} HTTP/1.1'.encode(), encoded, body)
            yield call

    async def stop(self) -> int:
        """Send SIGTERM and wait for the end."""
        self.process.send_signal(signal.SIGTERM)
        return await self.process.wait()

    async def kill(self) -> None:
        """End it at once, unless it has ended."""
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def start_gateway(settings: Path) -> GatewayProcess:
    """Start a gateway and wait until its ports are open."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'bramleybeam.gateway',
        env={'BRAMLEYBEAM_NODE_FILE': str(settings)},
        cwd=Path(__file__).parent.parent,
        stdout=asyncio.subprocess.PIPE,
    )
    gateway = GatewayProcess(process)
    started = asyncio.Event()
    gateway._reader = asyncio.create_task(gateway.read_log(started))
    await asyncio.wait_for(started.wait(), 30)
    return gateway


async def _read_answer(call) -> Answer:
    head = await call.read_head()
    headers = {
        key.decode().lower(): field.decode() for key, field in head.headers
    }
    body = b''
    try:
        while piece := await call.read_chunk():
            body += piece
    except BrokenReplyError:
        return Answer(head.status, headers, body, broken=True)
    return Answer(head.status, headers, body)
