"""Runs a gateway in a separate process and sends requests to it."""

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
    """Answer that a caller received; ``is_truncated`` if it ended early."""

    status: int
    headers: dict
    body: bytes
    is_truncated: bool = False


@attrs.define(eq=False)
class GatewayProcess:
    """A gateway in a separate process, its addresses and its log."""

    process: asyncio.subprocess.Process
    callers_address: str = ''
    readiness_address: str = ''
    log: list = attrs.field(factory=list)
    _log_reader: asyncio.Task | None = None

    async def read_log(self, started: asyncio.Event) -> None:
        """Collect the JSON lines of standard output."""
        async for line in self.process.stdout:
            entry = json.loads(line)
            self.log.append(entry)
            if entry['event'] == 'started':
                self.callers_address = entry['callers']
                self.readiness_address = entry['readiness']
                started.set()

    def events(self, name: str) -> list:
        """Return the log lines of one event."""
        return [line for line in self.log if line['event'] == name]

    async def wait_ready(self) -> None:
        """Wait until the readiness endpoint returns 200."""
        async with asyncio.timeout(30):
            while (await self.readiness_status()) != 200:
                await asyncio.sleep(0.02)

    async def readiness_status(self) -> int:
        """Return the status of the readiness endpoint, 0 if unreachable."""
        try:
            call = await connect_peer(self.readiness_address, 1)
            with closing(call):
                call.send(b'GET /api/readiness HTTP/1.1', (), b'')
                return (await call.read_head()).status
        except (OSError, BrokenReplyError):
            return 0

    async def ask_with_id(
        self, request_id: str, path: str, method='POST', **headers
    ) -> Answer:
        """Send a request with the given id and return its answer."""
        async with self.send(request_id, path, method, **headers) as call:
            return await read_answer(call)

    @asynccontextmanager
    async def send(
        self, request_id: str, path: str, method='POST', **headers
    ) -> AsyncIterator[PeerConnection]:
        """Send a request; disconnect at the end of the block."""
        call = await connect_peer(self.callers_address, 1)
        with closing(call):
            call.send(*encode_request(request_id, path, method, **headers))
            yield call

    async def read_metrics(self) -> str:
        """Return the page of the metrics."""
        call = await connect_peer(
            self.events('metrics_served')[0]['address'], 1
        )
        with closing(call):
            call.send(b'GET /metrics HTTP/1.1', (), b'')
            return (await read_answer(call)).body.decode()

    async def stop(self) -> int:
        """Send SIGTERM, wait for the exit and return the exit status."""
        self.process.send_signal(signal.SIGTERM)
        return await self.process.wait()

    async def kill(self) -> None:
        """Kill the process unless it has exited."""
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def start_gateway(settings: Path) -> GatewayProcess:
    """Start a gateway and wait until its ports are open."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'bramleybeam.gateway',
        env={
            'BRAMLEYBEAM_NODE_FILE': str(settings),
            'BRAMLEYBEAM_METRICS_ADDRESS': '127.0.0.1:0',
        },
        cwd=Path(__file__).parent.parent,
        stdout=asyncio.subprocess.PIPE,
    )
    gateway = GatewayProcess(process)
    started = asyncio.Event()
    gateway._log_reader = asyncio.create_task(gateway.read_log(started))
    await asyncio.wait_for(started.wait(), 30)
    return gateway


def encode_request(
    request_id: str, path: str, method='POST', **headers
) -> tuple[bytes, tuple, bytes]:
    """Return first line, headers and body of a caller's request."""
    fields = {
        'Host': 'desk.example',
        'Bramleybeam-Request-Id': request_id,
        'Bramleybeam-Request-Deadline': '4000',
        **{key.replace('_', '-'): field for key, field in headers.items()},
    }
    encoded = tuple(
        (key.encode(), field.encode()) for key, field in fields.items()
    )
    body = b'' if method == 'GET' else b'body'
    return f'{method} {path} HTTP/1.1'.encode(), encoded, body


async def read_answer(call) -> Answer:
    """Read the answer to a request that was sent."""
    head = await call.read_head()
    headers = {
        key.decode().lower(): field.decode() for key, field in head.headers
    }
    body = b''
    try:
        while chunk := await call.read_chunk():
            body += chunk
    except BrokenReplyError:
        return Answer(head.status, headers, body, is_truncated=True)
    return Answer(head.status, headers, body)
