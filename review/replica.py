"""A replica, as the users' pages describe it; standard library only.

    replica.py NAME [--work MS] [--body BYTES] [--garble KIND --share X]
    replica.py NAME --models NAMES --events COUNT --pause MS ...

Without models it is one of a plain service: an answer of --body bytes takes --work
ms. With --models it streams --events events, --pause ms apart, for the models that
it holds, reports what it holds and carries out orders to load and unload.

It prints its port, and then one JSON line for each request: when its run began and
how it ended. SIGUSR1 begins a disruption and SIGUSR2 ends it: of the answers that
begin meanwhile, a share X, chosen by the ids of the requests, is garbled:

    unframed   neither a length nor chunks; the answer ends with its connection
    endless    a chunked body whose trailer section does not end until the caller closes
    stray      bytes that are no answer of this protocol come in place of the answer
    again      the line with the seal comes once more behind the last chunk of the body

--closes is the share of the sound answers with Connection: close, as the pages say
that it comes occasionally.
"""

import argparse
import asyncio
import json
import signal
import sys
import time
import zlib

SEAL = 'Bramleybeam-Response-Seal'
ECHO = 'Bramleybeam-Request-Id'
LOAD_S = 1.0
STRAY_TEXT = b'temporarily under maintenance\n'


def whole_body(request_id: str, size: int) -> bytes:
    """Return the body of the complete answer to a request."""
    text = f'answer to {request_id};'.encode()
    return (text * (size // len(text) + 1))[:size]


def whole_stream(request_id: str, events: int) -> list[bytes]:
    """Return the events of the complete stream that answers a request."""
    return [
        f'id: {number}\ndata: piece {number} of {request_id}\n\n'.encode()
        for number in range(1, events + 1)
    ]


class Replica:
    def __init__(self, options) -> None:
        self.options = options
        self.is_disrupted = False
        self.models = set(filter(None, (options.models or '').split(',')))
        self.sequence = 0
        self.fence = 0
        self.is_busy = False
        self.running = 0

    def note(self, event: str, request_id: str = '', **fields) -> None:
        row = {'at': round(time.monotonic(), 4), 'replica': self.options.name}
        row |= {'event': event, 'request': request_id, **fields}
        sys.stdout.write(json.dumps(row) + '\n')
        sys.stdout.flush()

    def fault_of(self, request_id: str) -> str:
        number = zlib.crc32(f'{self.options.name} {request_id}'.encode()) % 10_000
        is_chosen = number < self.options.share * 10_000
        return self.options.garble if self.is_disrupted and is_chosen else ''

    async def serve(self, reader, writer) -> None:
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer) -> bool:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        method, path, _ = lines[0].split(' ')
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        request_id = headers.get(ECHO.lower(), '')
        expected = headers.get('bramleybeam-expect-instance', self.options.name)
        model = headers.get('bramleybeam-model', '')
        if expected != self.options.name or (model and model not in self.models):
            reply(writer, 421, b'', f'{ECHO}: {request_id}')
            return True
        if path == '/health':
            reply(writer, 200, b'', f'Bramleybeam-Instance-Id: {self.options.name}')
            return True
        if path == '/api/report':
            reply(writer, 200, json.dumps(self.report()).encode())
            return True
        if path == '/api/order':
            reply(writer, self.take_order(json.loads(body)), b'{}')
            return True
        self.note('run', request_id, method=method, path=path, bytes=len(body))
        # A caller that leaves ends the run.
        left = asyncio.ensure_future(reader.read(1))
        self.running += 1
        try:
            return await self.answer(request_id, left, writer)
        finally:
            self.running -= 1
            await stop_watching(left)

    def describe_models(self) -> list:
        return [
            {'name': name, 'version': 1, 'adapters': []} for name in sorted(self.models)
        ]

    def report(self) -> dict:
        return {
            'stage': 'colocated',
            'models': self.describe_models(),
            'busy': self.is_busy,
            'sequence': self.sequence,
            'queued': 0,
            'running': self.running,
            'kv-used': 0,
            'kv-total': 147_322,
            'handles': 0,
        }

    def take_order(self, order: dict) -> int:
        self.note('order', **order)
        if order['fencing-token'] < self.fence:
            return 412
        self.fence = order['fencing-token']
        if self.is_busy or order.get('expected', self.sequence) != self.sequence:
            return 409
        holds = order['model'] in self.models
        if holds == (order['op'] == 'load'):
            return 200
        self.sequence += 1
        self.is_busy = True
        asyncio.get_running_loop().call_later(LOAD_S, self.carry_out, order)
        return 202

    def carry_out(self, order: dict) -> None:
        self.is_busy = False
        change = self.models.add if order['op'] == 'load' else self.models.discard
        change(order['model'])
        self.note('models', models=self.describe_models())

    async def answer(self, request_id, left, writer) -> bool:
        """Answer one request; return whether the connection is kept."""
        fault = self.fault_of(request_id)
        if self.options.models is not None:
            pieces = whole_stream(request_id, self.options.events)
            pauses = [self.options.pause / 1000] * len(pieces)
            kind = 'Content-Type: text/event-stream\r\n'
        else:
            body = whole_body(request_id, self.options.body)
            pieces = [body]
            pauses = [self.options.work / 1000]
            kind = ''
        start = f'HTTP/1.1 200 OK\r\n{kind}{ECHO}: {request_id}\r\n{SEAL}: seal.{request_id}\r\n'
        closes = zlib.crc32(request_id.encode()) % 100 < 100 * self.options.closes
        if closes and fault != 'unframed':
            start += 'Connection: close\r\n'
        if fault == 'unframed':
            start += 'Connection: close\r\n\r\n'
        elif fault in {'endless', 'again'} or kind:
            start += 'Transfer-Encoding: chunked\r\n\r\n'
        else:
            start += f'Content-Length: {len(pieces[0])}\r\n\r\n'
        is_chunked = 'chunked' in start
        for number, (piece, pause_s) in enumerate(zip(pieces, pauses)):
            if await is_left_within(pause_s, left):
                self.note('caller left', request_id)
                return False
            if fault == 'stray':
                self.note('sends stray bytes', request_id)
                writer.write(
                    b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
                    b'Content-Length: %d\r\n\r\n%s' % (len(STRAY_TEXT), STRAY_TEXT)
                )
                await writer.drain()
                return False
            framed = b'%x\r\n%s\r\n' % (len(piece), piece) if is_chunked else piece
            is_last = number == len(pieces) - 1
            if is_last:
                # The next request may follow as soon as the answer is complete.
                await stop_watching(left)
            end = b'0\r\n\r\n' if is_chunked and is_last and not fault else b''
            if fault == 'again' and is_last:
                end = f'0\r\n{SEAL}: seal.{request_id}\r\n\r\n'.encode()
            writer.write((start.encode() if not number else b'') + framed + end)
            await writer.drain()
        if fault == 'endless':
            await self.send_without_end(request_id, writer)
            return False
        self.note('answered', request_id, fault=fault)
        return fault != 'unframed' and not closes

    async def send_without_end(self, request_id, writer) -> None:
        self.note('sends without end', request_id)
        sent = 0
        try:
            writer.write(b'0\r\n')
            while True:
                writer.write(b'x: y\r\n' * 2000)
                await writer.drain()
                sent += 12_000
        except ConnectionError:
            self.note('caller closed', request_id, sent=sent)


def reply(writer, status: int, body: bytes, *headers: str) -> None:
    lines = [f'HTTP/1.1 {status} Status', f'Content-Length: {len(body)}', *headers]
    writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)


async def is_left_within(seconds: float, left) -> bool:
    """Wait; return whether the caller has left meanwhile."""
    done, _ = await asyncio.wait({left}, timeout=seconds)
    return bool(done)


async def stop_watching(left) -> None:
    left.cancel()
    await asyncio.gather(left, return_exceptions=True)


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument('name')
    parser.add_argument('--work', type=float, default=100)
    parser.add_argument('--body', type=int, default=800)
    parser.add_argument('--models')
    parser.add_argument('--events', type=int, default=86)
    parser.add_argument('--pause', type=float, default=20)
    parser.add_argument('--garble', default='')
    parser.add_argument('--share', type=float, default=0)
    parser.add_argument('--closes', type=float, default=0)
    options = parser.parse_args()
    replica = Replica(options)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, setattr, replica, 'is_disrupted', True)
    loop.add_signal_handler(signal.SIGUSR2, setattr, replica, 'is_disrupted', False)
    server = await asyncio.start_server(replica.serve, '127.0.0.1', 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main())
