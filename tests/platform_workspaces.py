"""Runs gateways whose configuration has workspaces, and callers with keys."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager, closing
from pathlib import Path

import attrs

from bramleybeam.relay import BrokenReplyError, PeerConnection, connect_peer
from tests.platform_fleet import Fleet, model_headers, run_fleet
from tests.platform_gateway import encode_request, read_answer
from tests.platform_replica import Arrival, ReplicaStandIn, Run
from tests.platform_site import make_route

# Bounds of the settings with strict revocation, and the times in seconds after
# the store acknowledged a configuration without a key: when no request that is
# sent with the key may run anywhere, and when it may not run at a gateway that
# reads the store (config-apply-ms of ``SETTINGS``).
STRICT_BOUNDS = {'strict-revoke': 'true', 'revoke-ms': '3000'}
REVOKE_S = 3.0
CONFIGURATION_APPLY_S = 2.0
# Routes beside those of ``make_configuration``: one without keys, and two whose
# requests may take long.
PUBLIC_ROUTE = make_route('open', 'ledger', 'idempotent') | {'no-auth': True}
QUEUE_ROUTE = make_route('queue', 'ledger', 'idempotent') | {
    'timeout-ms': 9000,
    'goal-ms': 8000,
}
TALE_ROUTE = make_route('tale', 'engine', 'streaming') | {
    'timeout-ms': 9000,
    'goal-ms': 8000,
    'resumable': True,
}
GATEWAY_BYTES_PER_S = 12_500_000.0
MODEL_ROUTES = ('/ask/', '/digest/', '/night/', '/tale/')
# Statuses that state that a request has not run.
_NOT_RUN_STATUSES = {401, 429, 503}
_SEAL = 'bramleybeam-response-seal'
_REPLICAS = 2
_WARM_UP_S = 30
_PAUSE_S = 0.05
_ANSWER_TIMEOUT_S = 15
_request_numbers = itertools.count(1)


def now() -> float:
    """Return the time of the event loop in seconds."""
    return asyncio.get_running_loop().time()


def make_tenant(name: str, *keys: str, **fields) -> dict:
    """Return an entry of the configuration's list of workspaces."""
    renamed = {key.replace('_', '-'): fields[key] for key in fields}
    return {'name': name, 'api-keys': list(keys), **renamed}


@attrs.define(eq=False)
class SentRequest:
    """A request and its answer; ``status`` is 0 without an answer.

    ``sent_at`` is a time of the event loop before any byte was sent.
    """

    request_id: str
    path: str
    gateway: int
    sent_at: float
    key: str | None = None
    status: int = 0
    headers: dict = attrs.field(factory=dict)
    is_truncated: bool = False

    @property
    def is_sealed(self) -> bool:
        """Whether the answer results from a run at a replica."""
        return _SEAL in self.headers

    @property
    def retry_after_s(self) -> float:
        """Seconds after which the caller is told to repeat the request."""
        return float(self.headers['retry-after'])


class WorkspaceFleet:
    """A fleet, and callers that send requests with keys to its gateways.

    ``sent`` are all requests in the order in which they were sent.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Store the fleet, whose configuration has version 1."""
        self.fleet = fleet
        self.sent: list[SentRequest] = []
        self._version = 1

    def configure(self, *tenants: dict) -> float:
        """Replace the workspaces; return when the store had written them."""
        self._version += 1
        self.fleet.tenants = list(tenants)
        self.fleet.configure(
            self._version, PUBLIC_ROUTE, QUEUE_ROUTE, TALE_ROUTE
        )
        return now()

    async def add_replicas(self, count: int = _REPLICAS) -> None:
        """Add replicas of the plain service and of the model service."""
        for number in range(count):
            await self.fleet.add(ReplicaStandIn(f'l{number}', 'ledger'))
            models = dict.fromkeys(self.fleet.models, frozenset())
            await self.fleet.add(
                ReplicaStandIn(f'e{number}', 'engine', models=models)
            )

    async def connect(self, number: int) -> PeerConnection:
        """Open a connection of a caller to a gateway."""
        address = self.fleet.gateways[number].callers_address
        return await connect_peer(address, 1)

    async def ask(
        self, number: int, path: str, key: str | None = None, **headers
    ) -> SentRequest:
        """Send a request on a connection of its own; return its answer."""
        request = self._make(number, path, key)
        try:
            call = await self.connect(number)
        except (OSError, TimeoutError):
            return request
        with closing(call):
            return await _exchange(call, request, headers)

    async def ask_on(
        self, call, number: int, path: str, key: str | None = None, **headers
    ) -> SentRequest:
        """Send a request on an open connection, and keep it open."""
        request = self._make(number, path, key)
        return await _exchange(call, request, headers, keep_alive=True)

    async def repeat_until(
        self, end_at: float, number: int, path: str, key: str | None
    ) -> list[SentRequest]:
        """Send requests one after the other until a time; return them."""
        sent = []
        while now() < end_at:
            sent.append(await self.ask(number, path, key))
            await asyncio.sleep(_PAUSE_S)
        return sent

    async def wait_for_status(
        self, status: int, number: int, path: str, key: str | None
    ) -> SentRequest:
        """Repeat a request until it gets a status; return the last one."""
        async with asyncio.timeout(_WARM_UP_S):
            while True:
                request = await self.ask(number, path, key)
                if request.status == status:
                    return request
                await asyncio.sleep(_PAUSE_S)

    async def wait_for_events(self, number: int, name: str, count: int) -> list:
        """Wait for at least some log lines of one event, and return them."""
        async with asyncio.timeout(_WARM_UP_S):
            while True:
                lines = self.fleet.gateways[number].events(name)
                if len(lines) >= count:
                    return lines
                await asyncio.sleep(_PAUSE_S)

    async def find_planner(self) -> int:
        """Return the number of the gateway that was elected last."""
        async with asyncio.timeout(_WARM_UP_S):
            while True:
                elected = [
                    (line['timestamp'], number)
                    for number, gateway in enumerate(self.fleet.gateways)
                    for line in gateway.events('planner_elected')
                ]
                if elected:
                    return max(elected)[1]
                await asyncio.sleep(_PAUSE_S)

    def arrivals(self, request: SentRequest) -> list[Arrival]:
        """Return how a request arrived at replicas, once for each attempt."""
        return [
            arrival
            for replica in self.fleet.replicas.values()
            for arrival in replica.arrivals
            if arrival.request_id == request.request_id
        ]

    def runs(self, request: SentRequest) -> list[Run]:
        """Return the runs of a request at all replicas."""
        return [
            run
            for replica in self.fleet.replicas.values()
            for run in replica.runs
            if run.request_id == request.request_id
        ]

    def list_runs_sent_after(
        self, sent_after: float, requests: Iterable[SentRequest]
    ) -> list[str]:
        """Return the requests that ran though they were sent after a time."""
        return [
            f'{request.request_id} at gateway {request.gateway} ran, sent'
            f' {request.sent_at - sent_after:.2f} s late'
            for request in requests
            if request.sent_at > sent_after and self.runs(request)
        ]

    def list_untrue_refusals(self) -> list[str]:
        """Return the requests that ran though they were refused as not run."""
        return [
            f'{request.request_id} got {request.status} and ran'
            for request in self.sent
            if request.status in _NOT_RUN_STATUSES
            and not request.is_sealed
            and self.runs(request)
        ]

    def list_leaks(self, *keys: str) -> list[str]:
        """Return where keys have arrived at replicas or are in a log."""
        replicas = self.fleet.replicas.values()
        arrivals = [
            repr(arrival)
            for replica in replicas
            for arrival in replica.arrivals
        ]
        logged = [
            repr(line)
            for gateway in (*self.fleet.gateways, *self.fleet.exited)
            for line in gateway.log
        ]
        return [
            text
            for text in (*arrivals, *logged)
            if any(key in text for key in keys)
        ]

    def fail_first(self, fault: str, pause_s: float = 0.01) -> None:
        """Let the next attempt of any request fail, and none after it.

        ``pause_s`` is the pause before the fault and between two events.
        """
        faults = [fault]

        def draw() -> str:
            return faults.pop() if faults else ''

        for replica in self.fleet.replicas.values():
            replica.pause_s = pause_s
            replica.draw_fault = draw

    def _make(self, number: int, path: str, key: str | None) -> SentRequest:
        request_id = f'w{next(_request_numbers)}'
        request = SentRequest(request_id, path, number, now(), key)
        self.sent.append(request)
        return request


def find_most_in_window(
    costs: list[tuple[float, float]], window_s: float
) -> float:
    """Return the largest sum of costs within any window.

    ``costs`` are pairs of a time and a cost, in order of time.
    """
    most = 0.0
    total = 0.0
    first = 0
    for at, cost in costs:
        total += cost
        while costs[first][0] <= at - window_s:
            total -= costs[first][1]
            first += 1
        most = max(most, total)
    return most


async def _exchange(
    call, request: SentRequest, headers: dict, *, keep_alive: bool = False
) -> SentRequest:
    """Send a request on a connection and read its answer."""
    fields = dict(headers)
    if request.path.startswith(MODEL_ROUTES):
        fields = {**model_headers('model000'), **fields}
    if request.key is not None:
        fields['Authorization'] = f'Bearer {request.key}'
    encoded = encode_request(request.request_id, request.path, **fields)
    try:
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            call.send(*encoded, keep_alive=keep_alive)
            answer = await read_answer(call)
    except (OSError, TimeoutError, BrokenReplyError):
        return request
    request.status = answer.status
    request.headers = answer.headers
    request.is_truncated = answer.is_truncated
    return request


@asynccontextmanager
async def run_workspaces(
    folder: Path,
    *tenants: dict,
    gateways: int = 1,
    bounds: dict[str, str] | None = None,
) -> AsyncIterator[WorkspaceFleet]:
    """Run gateways with workspaces, and wait until each serves them.

    ``bounds`` are fields added to the bounds of the gateways' settings.
    """
    rates = [GATEWAY_BYTES_PER_S] * gateways
    async with run_fleet(
        folder, rates, models=1, engines=0, plain=0, bounds=bounds
    ) as fleet:
        workspaces = WorkspaceFleet(fleet)
        workspaces.configure(*tenants)
        await workspaces.add_replicas()
        key = tenants[0]['api-keys'][0]
        for number in range(gateways):
            await workspaces.wait_for_status(200, number, '/open/1', None)
            await workspaces.wait_for_status(200, number, '/look/1', key)
            await workspaces.wait_for_status(200, number, '/digest/1', key)
        yield workspaces
