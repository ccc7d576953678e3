"""Spans of each hop, scraped metrics and the explanations for operators."""

import json
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import aiohttp

from bramleybeam.demo import DemoCluster, DemoOptions
from bramleybeam.telemetry import Tracing, TracingSettings
from tests.documents import make_document

TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
PARENT_SPAN_ID = 'b7ad6b7169203331'


async def test_a_request_is_traced_counted_and_explained(tmp_path):
    """The spans of three hops belong to the caller's trace.

    The entry exports all metrics and explains the request and a model.
    """
    path = tmp_path / 'spans.jsonl'
    options = DemoOptions(
        time_scale=0.1,
        entries=1,
        tracing=TracingSettings('jsonl', str(path)),
    )
    cluster = DemoCluster(make_document(), options)
    await cluster.start()
    try:
        await cluster.wait_reachable(60)
        async with aiohttp.ClientSession() as session:
            async with session.post(
                f'{cluster.urls[0]}/v1/completions',
                json={'model': 'council-a', 'prompt': 'x'},
                headers={'traceparent': f'00-{TRACE_ID}-{PARENT_SPAN_ID}-01'},
            ) as response:
                request_id = response.headers['x-request-id']
                assert response.status == 200
            operators = cluster.entries[0].operator_url
            async with session.get(f'{operators}/metrics') as response:
                metrics = await response.text()
            async with session.get(
                f'{operators}/explain/{request_id}'
            ) as response:
                explained_request = (await response.json())['request']
            async with session.get(
                f'{operators}/explain/drafter-a'
            ) as response:
                explained_model = (await response.json())['model']
    finally:
        await cluster.close()
    spans = [json.loads(line) for line in path.read_text().splitlines()]
    by_name = {span['span']: span for span in spans}
    assert {span['trace_id'] for span in spans} == {TRACE_ID}
    assert by_name['entry.request']['parent_id'] == PARENT_SPAN_ID
    for child, parent in (
        ('agent.relay', 'entry.request'),
        ('agent.upstream', 'agent.relay'),
    ):
        assert by_name[child]['parent_id'] == by_name[parent]['span_id']
    for name in (
        'requests_total',
        'first_token_seconds',
        'token_gap_seconds',
        'links',
        'config_revision',
        'moves_total',
        'frames_dropped_total',
    ):
        assert f'bramleybeam_{name}' in metrics
    assert explained_request['outcome'] == 'met'
    assert explained_request['target'] == 'council-a'
    assert explained_model['copies']
    assert explained_model['last_order']['reason']


class _Collector(BaseHTTPRequestHandler):
    received: list[tuple[str, bytes]] = []

    def do_POST(self):  # noqa: N802
        """Store the path and body of a request, as a collector receives it."""
        size = int(self.headers['Content-Length'])
        self.received.append((self.path, self.rfile.read(size)))
        self.send_response(200)
        self.end_headers()

    def log_message(self, *_args):
        """Write no access log to standard error."""


def test_spans_reach_a_collector_by_otlp():
    """The exporter sends spans by OTLP over HTTP to the configured endpoint."""
    server = HTTPServer(('127.0.0.1', 0), _Collector)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    endpoint = f'http://127.0.0.1:{server.server_port}'
    tracing = Tracing('entry-7', TracingSettings('otlp', endpoint=endpoint))
    span = tracing.start('entry.request', '', server=True)
    tracing.finish(span)
    tracing.close()
    server.shutdown()
    server.server_close()
    path, body = _Collector.received[0]
    assert path == '/v1/traces'
    assert b'entry.request' in body
    assert b'entry-7' in body
