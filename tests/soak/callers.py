"""Callers that reuse connections, and the load balancer of the gateways."""

import asyncio
import random
from contextlib import closing

from bramleybeam.relay import BrokenReplyError, connect_peer, find_header
from tests.platform_fleet import Fleet, model_headers
from tests.soak.record import CallerRequest, Record
from tests.soak.workspaces import Workspaces

# Deadline that each request states.
DEADLINE_S = 4.0
_CONNECT_TIMEOUT_S = 1.0
_PROBE_INTERVAL_S = 1.0
_MAX_FAILED_PROBES = 2
_MAX_REQUESTS_PER_CONNECTION = 12
# Mean pause between requests, longest pause between connections.
_PAUSE_S = 0.15
# Share of requests whose callers disconnect early.
_EARLY_DISCONNECT_SHARE = 0.05
_DISCONNECT_AFTER_S = (0.02, 0.3)
# Header of an answer that a replica has given.
_SEAL = b'bramleybeam-response-seal'
# Weights of the paths in the draw; the last path has no route.
PATH_WEIGHTS = {
    '/post/2f': 5,
    '/look/2f': 4,
    '/ask/2f': 5,
    '/digest/2f': 3,
    '/moved/2f': 2,
    '/added/2f': 2,
    '/never/2f': 1,
}
STREAM_PATHS = ('/ask/2f', '/digest/2f')
GET_PATHS = ('/look/2f', '/moved/2f')


class LoadBalancer:
    """Excludes gateways after two failed readiness probes in a row."""

    def __init__(self, fleet: Fleet) -> None:
        """Start with all gateways in rotation."""
        self._fleet = fleet
        self._failed_probes = [0] * len(fleet.gateways)

    async def run(self) -> None:
        """Probe all gateways until cancelled."""
        while True:
            await asyncio.gather(
                *(
                    self._probe(number)
                    for number in range(len(self._failed_probes))
                ),
                asyncio.sleep(_PROBE_INTERVAL_S),
            )

    def pick(self, rng: random.Random) -> int:
        """Return the number of a gateway for a new connection."""
        ready = [
            number
            for number, failures in enumerate(self._failed_probes)
            if failures < _MAX_FAILED_PROBES
        ]
        return rng.choice(ready or range(len(self._failed_probes)))

    async def _probe(self, number: int) -> None:
        gateway = self._fleet.gateways[number]
        try:
            async with asyncio.timeout(_PROBE_INTERVAL_S):
                status = await gateway.readiness_status()
        except TimeoutError:
            status = 0
        self._failed_probes[number] = (
            0 if status == 200 else self._failed_probes[number] + 1
        )


class Caller:
    """Sends requests one after the other until stopped."""

    def __init__(
        self,
        name: str,
        fleet: Fleet,
        balancer: LoadBalancer,
        record: Record,
        rng: random.Random,
        workspaces: Workspaces | None = None,
    ) -> None:
        """Store the name in request ids, the targets and the record.

        ``workspaces`` give the keys, ``None`` if requests need none.
        """
        self._workspaces = workspaces
        self._name = name
        self._fleet = fleet
        self._balancer = balancer
        self._record = record
        self._rng = rng
        self._count = 0
        self._is_stopping = False

    def stop(self) -> None:
        """Send no more requests after the current one."""
        self._is_stopping = True

    async def run(self) -> None:
        """Open connections one after the other and send requests on them."""
        while not self._is_stopping:
            await self._use_connection(self._balancer.pick(self._rng))
            await asyncio.sleep(self._rng.uniform(0, _PAUSE_S))

    async def _use_connection(self, number: int) -> None:
        gateway = self._fleet.gateways[number]
        try:
            call = await connect_peer(
                gateway.callers_address, _CONNECT_TIMEOUT_S
            )
        except (OSError, TimeoutError):
            return
        with closing(call):
            for _ in range(self._rng.randint(1, _MAX_REQUESTS_PER_CONNECTION)):
                may_reuse = await self._send_request(call, number, gateway)
                if self._is_stopping or not may_reuse:
                    return
                await asyncio.sleep(self._rng.expovariate(1 / _PAUSE_S))

    async def _send_request(self, call, number: int, gateway) -> bool:
        """Send one request; return whether the connection is reusable."""
        loop = asyncio.get_running_loop()
        self._count += 1
        path = self._rng.choices(list(PATH_WEIGHTS), PATH_WEIGHTS.values())[0]
        request_id = f'{self._name}-{self._count}'
        request = CallerRequest(request_id, path, number, gateway, loop.time())
        first_line, headers, body = self._build_request(path, request_id)
        if self._workspaces:
            request.key = self._workspaces.draw_key()
            fields = self._workspaces.make_fields(request.key)
            headers += _encode(fields)
        try:
            call.send(first_line, headers, body, keep_alive=True)
        except BrokenReplyError:
            return False
        self._record.requests.append(request)
        timeout_s = DEADLINE_S
        disconnects_early = self._rng.random() < _EARLY_DISCONNECT_SHARE
        if disconnects_early:
            timeout_s = self._rng.uniform(*_DISCONNECT_AFTER_S)
        try:
            async with asyncio.timeout(timeout_s):
                await _read(call, request)
        except BrokenReplyError:
            return False
        except TimeoutError:
            request.disconnected_at = loop.time()
            return False
        finally:
            request.ended_at = loop.time()
        return call.is_reusable

    def _build_request(self, path: str, request_id: str):
        method = 'GET' if path in GET_PATHS else 'POST'
        fields = {
            'Host': 'desk.example',
            'Bramleybeam-Request-Id': request_id,
            'Bramleybeam-Request-Deadline': str(round(DEADLINE_S * 1000)),
        }
        if path in STREAM_PATHS:
            model = self._rng.choice(self._fleet.models)
            model_fields = model_headers(model)
            fields |= {
                key.replace('_', '-'): model_fields[key] for key in model_fields
            }
        body = b'' if method == 'GET' else b'body'
        return f'{method} {path} HTTP/1.1'.encode(), _encode(fields), body


def _encode(fields: dict[str, str]) -> tuple:
    return tuple(
        (key.encode(), field.encode()) for key, field in fields.items()
    )


async def _read(call, request: CallerRequest) -> None:
    head = await call.read_head()
    request.status = head.status
    request.is_sealed = find_header(head.headers, _SEAL) is not None
    while chunk := await call.read_chunk():
        request.body += chunk
    request.is_complete = True
