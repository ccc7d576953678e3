"""Small stand-ins of the platform's replicas, with faults on demand."""

import asyncio
import json

import attrs

from bramleybeam.relay import find_header
from tests.platform_port import PortStandIn

SEAL = b'Bramleybeam-Response-Seal'
_NEVER_S = 60
REQUEST_ID = b'Bramleybeam-Request-Id'


@attrs.define
class Run:
    """One run of a request; moments are in loop seconds."""

    request_id: str
    path: str
    headers: dict
    body: bytes
    began_at: float
    ended_at: float = 0
    is_sound: bool = True


@attrs.frozen
class GivenOrder:
    """An accepted order, and when it came, in loop seconds."""

    moment: float
    holder: str
    epoch: int


@attrs.define
class ReplicaStandIn(PortStandIn):
    """A replica of a plain service or of a model service.

    ``faults`` maps a request id to what goes wrong with it: ``lost`` (runs,
    then resets), ``refuse`` (503, not run), ``error`` (500), ``bare`` (503 without
    a word on whether it ran), ``other_id``,
    ``cut`` (a stream breaks off after some events), ``torn`` (within an
    event), ``unframed`` (no length), ``extra`` (bytes after the answer),
    ``endless_head``, ``endless_body`` and ``endless_event`` (bytes until the
    connection is closed), ``die`` (runs, then the replica is gone). ``draw_fault`` may name one for any other request.
    With ``echoes`` answers hold the request's id. ``places`` is how many
    models it holds; what was ordered beyond is kept in ``overfull``. Orders
    get no answer while ``late_s`` is set, and are carried out that much later;
    nothing is answered while it ``is_dark``.
    """

    name: str
    service: str
    zone: str = 'zone-a'
    models: dict = attrs.field(factory=dict)
    sequence: int = 0
    events: int = 4
    pause_s: float = 0.01
    load_s: float = 0.05
    faults: dict = attrs.field(factory=dict)
    runs: list = attrs.field(factory=list)
    orders: list = attrs.field(factory=list)
    cancelled: list = attrs.field(factory=list)
    highest_fence: int = 0
    on_models: object = None
    draw_fault: object = None
    echoes: bool = False
    places: int = 100
    overfull: list = attrs.field(factory=list)
    accepted: list = attrs.field(factory=list)
    loading: int = 0
    born: int = 1
    late_s: float = 0
    is_dark: bool = False

    def entry(self, **changed) -> dict:
        """Return what it writes of itself in the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 4,
            'state': 'ready',
            'cold-left-ms': 0,
            'sequence': 99,
            'born': self.born,
            'models': self._show_models(),
            **changed,
        }

    def _show_models(self) -> list:
        return [
            {'name': name, 'version': 1, 'adapters': sorted(adapters)}
            for name, adapters in self.models.items()
        ]

    async def start_again(self) -> None:
        """Start anew under the same name: nothing is held or known."""
        self.born += 1
        self.models.clear()
        self.sequence = 0
        self.highest_fence = 0
        self.loading = 0
        await self.start()

    async def _answer(self, request, connection) -> None:
        if self.is_dark:
            await asyncio.sleep(_NEVER_S)
        expected = find_header(request.headers, b'bramleybeam-expect-instance')
        if expected and expected.decode() != self.name:
            connection.respond(421, (), b'')
        elif request.path == '/api/order':
            await self._hear_order(json.loads(request.body), connection)
        elif request.path == '/api/report':
            report = {
                'models': self._show_models(),
                'sequence': self.sequence,
                'busy': False,
            }
            connection.respond(200, (), json.dumps(report).encode())
        else:
            await self._run(request, connection)

    async def _hear_order(self, order: dict, connection) -> None:
        if self.late_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self.late_s, self._take_late, order, self.born)
            await asyncio.sleep(_NEVER_S)
        connection.respond(self._take_order(order), (), b'{}')

    def _take_late(self, order: dict, born: int) -> None:
        if born == self.born:
            self._take_order(order)

    def _take_order(self, order: dict) -> int:
        """Take an order unless it is out of date; return the status."""
        self.orders.append(order)
        fence = order['fencing-token']
        if fence < self.highest_fence:
            return 412
        self.highest_fence = fence
        if order.get('expected', self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        self._note_accepted(order)
        loop = asyncio.get_running_loop()
        loop.call_later(self.load_s, self._apply, order, self.born)
        return 202

    def _note_accepted(self, order: dict) -> None:
        now = asyncio.get_running_loop().time()
        given = GivenOrder(now, order['holder-id'], order['fencing-token'])
        self.accepted.append(given)
        if order['op'] == 'load' and not order.get('adapter'):
            self.loading += 1
            if len(self.models) + self.loading > self.places:
                self.overfull.append(order)

    def _apply(self, order: dict, born: int) -> None:
        if born != self.born:
            return
        model, adapter = order['model'], order.get('adapter')
        if order['op'] == 'load' and not adapter:
            self.loading -= 1
        if adapter:
            self.models[model] = self.models.get(model, frozenset()) | {adapter}
        elif order['op'] == 'load':
            self.models[model] = frozenset()
        else:
            self.models.pop(model, None)
        if self.on_models is not None:
            self.on_models(self)

    async def _run(self, request, connection) -> None:
        headers = {
            name.decode().lower(): field.decode()
            for name, field in request.headers
        }
        request_id = headers['bramleybeam-request-id']
        drawn = self.draw_fault() if self.draw_fault else ''
        fault = self.faults.pop(request_id, drawn)
        model, _, adapter = headers.get('bramleybeam-model', '').partition('/')
        if model and model not in self.models:
            connection.respond(421, ((REQUEST_ID, request_id.encode()),), b'')
            return
        if fault == 'refuse' or (adapter and adapter not in self.models[model]):
            refused = (b'Bramleybeam-Not-Executed', b'1')
            shown = (REQUEST_ID, request_id.encode())
            connection.respond(503, (refused, shown), b'')
            return
        now = asyncio.get_running_loop().time
        run = Run(
            request_id, request.target.decode(), headers, request.body, now()
        )
        run.is_sound = not fault
        self.runs.append(run)
        try:
            await self._carry_out(run, fault, bool(model), connection)
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            raise
        finally:
            run.ended_at = now()

    async def _carry_out(self, run, fault, is_stream, connection) -> None:
        shown = b'other' if fault == 'other_id' else run.request_id.encode()
        head = ((REQUEST_ID, shown), (SEAL, b'seal-1'))
        await asyncio.sleep(self.pause_s)
        if is_stream and fault not in {'lost', 'die', 'hang'}:
            await self._stream(run, fault, head, connection)
            return
        if fault == 'endless_head':
            connection._write(b'HTTP/1.1 200 OK\r\nA: ')
            await _write_without_end(connection, is_head=True)
        if fault == 'endless_body':
            connection.start(200, head)
            await _write_without_end(connection)
        match fault:
            case 'lost':
                connection.abort_response()
            case 'die':
                connection.abort_response()
                await self.close()
            case 'hang':
                await asyncio.sleep(60)
            case 'error':
                connection.respond(500, head, b'went wrong')
            case 'bare':
                connection.respond(503, head[:1], b'went away')
            case 'unframed':
                self._write_unframed(head, connection, self.whole(run))
            case _:
                connection.respond(200, head, self.whole(run))
        if fault == 'extra':
            connection.respond(200, head, b'second answer')

    def is_sound_at(self, run: Run) -> bool:
        """Whether a run was answered as it should be."""
        return run.is_sound and run.request_id not in self.cancelled

    def whole(self, run: Run) -> bytes:
        """Return the body of a whole plain answer."""
        if self.echoes:
            return f'answer to {run.request_id}'.encode()
        return b'whole answer'

    def _write_unframed(self, head, connection, body: bytes) -> None:
        lines = b''.join(key + b': ' + field + b'\r\n' for key, field in head)
        connection._write(b'HTTP/1.1 200 OK\r\n' + lines + b'\r\n' + body)
        connection._transport.close()

    async def _stream(self, run, fault, head, connection) -> None:
        first = int(run.headers.get('last-event-id', -1)) + 1
        kind = (b'Content-Type', b'text/event-stream')
        connection.start(200, (*head, kind))
        if fault == 'endless_event':
            await _write_without_end(connection)
        for number in range(first, self.events):
            if fault in {'cut', 'torn'} and number == 2:
                if fault == 'torn':
                    await connection.write_chunk(b'id: 2\nda')
                await asyncio.sleep(self.pause_s)
                connection.abort_response()
                return
            told = run.request_id if self.echoes else 'piece'
            event = f'id: {number}\ndata: {told}\n\n'
            await connection.write_chunk(event.encode())
            await asyncio.sleep(self.pause_s)
        connection.finish()


async def _write_without_end(connection, *, is_head: bool = False) -> None:
    """Write bytes of no event until the other side closes."""
    while True:
        if is_head:
            await connection._writable.wait()
            connection._write(b'x' * 10_000)
        else:
            await connection.write_chunk(b'x' * 10_000)
        await asyncio.sleep(0)
