"""Callers that keep their connections, and the balancer before the gateways."""

import asyncio
import random
from contextlib import closing

from bramleybeam.relay import BrokenReplyError, connect_peer, find_header
from tests.platform_fleet import Fleet, model_headers
from tests.soak.record import Asked, Record

DEADLINE_S = 4.0
_CONNECT_S = 1.0
_POLL_S = 1.0
_MISSES = 2
_LONGEST_SERIES = 12
_PAUSE_S = 0.15
_LEAVING_SHARE = 0.05
_LEAVES_AFTER_S = (0.02, 0.3)
_SEAL = b'bramleybeam-response-seal'
# Paths with their weights; the last one has no route.
PATHS = {
    '/post/2f': 5,
    '/look/2f': 4,
    '/ask/2f': 5,
    '/digest/2f': 3,
    '/moved/2f': 2,
    '/added/2f': 2,
    '/never/2f': 1,
}
STREAMS = ('/ask/2f', '/digest/2f')
PLAIN_GETS = ('/look/2f', '/moved/2f')


class Balancer:
    """Leaves out gateways that miss two questions for their readiness."""

    def __init__(self, fleet: Fleet) -> None:
        """Start with every gateway in rotation."""
        self._fleet = fleet
        self._misses = [0] * len(fleet.gateways)

    async def run(self) -> None:
        """Ask all gateways, over and over."""
        while True:
            await asyncio.gather(
                *(self._ask(number) for number in range(len(self._misses))),
                asyncio.sleep(_POLL_S),
            )

    def pick(self, rng: random.Random) -> int:
        """Return the number of a gateway for a new connection."""
        ready = [
            number
            for number, misses in enumerate(self._misses)
            if misses < _MISSES
        ]
        return rng.choice(ready or range(len(self._misses)))

    async def _ask(self, number: int) -> None:
        gateway = self._fleet.gateways[number]
        try:
            async with asyncio.timeout(_POLL_S):
                status = await gateway.readiness_status()
        except TimeoutError:
            status = 0
        self._misses[number] = 0 if status == 200 else self._misses[number] + 1


class Caller:
    """Sends requests in series until it is told to stop."""

    def __init__(
        self,
        name: str,
        fleet: Fleet,
        balancer: Balancer,
        record: Record,
        rng: random.Random,
    ) -> None:
        """Store who asks whom."""
        self._name = name
        self._fleet = fleet
        self._balancer = balancer
        self._record = record
        self._rng = rng
        self._count = 0
        self._is_stopping = False

    def stop(self) -> None:
        """Send no more requests after the one under way."""
        self._is_stopping = True

    async def run(self) -> None:
        """Use connection after connection."""
        while not self._is_stopping:
            await self._use_connection(self._balancer.pick(self._rng))
            await asyncio.sleep(self._rng.uniform(0, _PAUSE_S))

    async def _use_connection(self, number: int) -> None:
        process = self._fleet.gateways[number]
        try:
            call = await connect_peer(process.callers_address, _CONNECT_S)
        except (OSError, TimeoutError):
            return
        with closing(call):
            for _ in range(self._rng.randint(1, _LONGEST_SERIES)):
                may_go_on = await self._ask(call, number, process)
                if self._is_stopping or not may_go_on:
                    return
                await asyncio.sleep(self._rng.expovariate(1 / _PAUSE_S))

    async def _ask(self, call, number: int, process) -> bool:
        """Send one request; tell whether the connection may be used again."""
        loop = asyncio.get_running_loop()
        self._count += 1
        path = self._rng.choices(list(PATHS), PATHS.values())[0]
        request_id = f'{self._name}-{self._count}'
        asked = Asked(request_id, path, number, process, loop.time())
        try:
            call.send(*self._render(path, request_id), keep_alive=True)
        except BrokenReplyError:
            return False
        self._record.asked.append(asked)
        patience = DEADLINE_S
        leaves = self._rng.random() < _LEAVING_SHARE
        if leaves:
            patience = self._rng.uniform(*_LEAVES_AFTER_S)
        try:
            async with asyncio.timeout(patience):
                await _read(call, asked)
        except BrokenReplyError:
            return False
        except TimeoutError:
            asked.left_at = loop.time()
            return False
        finally:
            asked.ended_at = loop.time()
        return call.is_reusable

    def _render(self, path: str, request_id: str):
        method = 'GET' if path in PLAIN_GETS else 'POST'
        named = {
            'Host': 'desk.example',
            'Bramleybeam-Request-Id': request_id,
            'Bramleybeam-Request-Deadline': str(round(DEADLINE_S * 1000)),
        }
        if path in STREAMS:
            model = self._rng.choice(self._fleet.models)
            shown = model_headers(model)
            named |= {key.replace('_', '-'): shown[key] for key in shown}
        headers = tuple(
            (key.encode(), field.encode()) for key, field in named.items()
        )
        body = b'' if method == 'GET' else b'body'
        return f'{method} {path} HTTP/1.1'.encode(), headers, body


async def _read(call, asked: Asked) -> None:
    head = await call.read_head()
    asked.status = head.status
    asked.is_sealed = find_header(head.headers, _SEAL) is not None
    while piece := await call.read_chunk():
        asked.body += piece
    asked.is_whole = True
