"""The client of an upstream that writes a reply twice."""

import asyncio

import pytest

from bramleybeam.agent._events import Finished, NotRun, Text
from bramleybeam.agent._upstream import UpstreamClient
from bramleybeam.links import Dispatch

REFUSAL = b'HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy'
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole'


class RepeatingUpstream:
    """Refuses the first request on its port and runs all others.

    On the connection of the refusal, it writes the refusal once more when the
    next request arrives, before the answer to that request.
    """

    def __init__(self):
        self.runs = 0
        self._refusals = 0

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        has_refused = False
        while await self._read_request(reader):
            if not self._refusals:
                self._refusals += 1
                has_refused = True
                writer.write(REFUSAL)
                continue
            self.runs += 1
            writer.write(REFUSAL if has_refused else b'')
            writer.write(ANSWER)
        writer.close()

    async def _read_request(self, reader):
        try:
            await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            return False
        return True


@pytest.mark.parametrize('kind', ['service', 'inference'])
async def test_refusal_written_twice_is_not_the_reply_to_the_next_request(
    kind,
):
    upstream = RepeatingUpstream()
    server = await asyncio.start_server(upstream.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    client = UpstreamClient(f'http://127.0.0.1:{port}')
    client.start()
    dispatch = Dispatch(
        request_id='r1', kind=kind, path='/x', method='GET', body=b'{}'
    )
    send = client.request if kind == 'service' else client.infer
    try:
        first = [event async for event in send(dispatch)]
        second = [event async for event in send(dispatch)]
    finally:
        await client.close()
        server.close()
    assert upstream.runs == 1
    # Without this, a request that ran was reported as not run.
    assert not any(isinstance(event, NotRun) for event in second)
    if kind == 'service':
        assert second[1:] == [Text(0, 5, b'whole'), Finished(5, 'stop')]
    else:
        assert isinstance(first[0], NotRun)
