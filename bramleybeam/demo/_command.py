"""``bramleybeam demo``: shows a deployment at work, or keeps it up."""

import asyncio
import signal
import sys
import time
from collections.abc import Iterable
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import aiohttp
import attrs
import click
from expression import Result

from bramleybeam.demo._cluster import DemoCluster, DemoOptions
from bramleybeam.documents import Document, read_document_file
from bramleybeam.operators import format_table
from bramleybeam.telemetry import configure_logs

SERVE_ADDRESS: Final = '127.0.0.1:8088'
_START_LIMIT_S: Final = 120
_REQUESTS_PER_CLASS: Final = 8
_SHOWN_CHARACTERS: Final = 48
_ZONES: Final = MappingProxyType(
    {
        'permit-office': ('derwent', 'huon', 'coal-river', 'tasman'),
        'feather-guild': ('piraeus', 'marousi', 'kallithea'),
    }
)


@click.command()
@click.argument(
    'documents',
    nargs=-1,
    type=click.Path(path_type=Path),
)
@click.option('--serve', is_flag=True, help='Keep it up until Ctrl-C.')
@click.option('--listen', default=SERVE_ADDRESS, help='Port for --serve.')
@click.option('--time-scale', default=0.25, help='Speed of the stand-ins.')
def demo(
    documents: tuple[Path, ...],
    serve: bool,  # noqa: FBT001
    listen: str,
    time_scale: float,
) -> None:
    """Run whole deployments in one process, from their documents."""
    configure_logs('error', sys.stderr, process='demo')
    for path in documents:
        match read_document_file(path):
            case Result(tag='ok', ok=document):
                options = DemoOptions(
                    zones=_ZONES.get(document.deployment.name, ('zone-a',)),
                    listen=listen if serve else '127.0.0.1:0',
                    time_scale=time_scale,
                )
                asyncio.run(run_demo(document, options, serve=serve))
            case Result(error=problems):
                for problem in problems:
                    click.echo(str(problem), err=True)
                sys.exit(2)


async def run_demo(
    document: Document,
    options: DemoOptions,
    *,
    serve: bool,
) -> None:
    """Start a deployment, show requests of each class, or keep it up."""
    cluster = DemoCluster(document, options)
    try:
        await _run_cluster(cluster, serve=serve)
    finally:
        await cluster.close()


async def _run_cluster(cluster: DemoCluster, *, serve: bool) -> None:
    started = time.monotonic()
    await cluster.start()
    await cluster.wait_reachable(_START_LIMIT_S)
    took = time.monotonic() - started
    document = cluster.document
    click.echo(
        f'\n{document.deployment.name}: {len(document.models)} models on '
        f'{len(document.upstreams)} upstreams reachable in {took:.1f} s',
    )
    if serve:
        await _serve_until_stopped(cluster)
        return
    await _show_requests(cluster)
    click.echo(_attainment_table(cluster))


async def _serve_until_stopped(cluster: DemoCluster) -> None:
    click.echo(f'callers: {cluster.urls[0]}/v1  (Ctrl-C stops it)')
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


async def _show_requests(cluster: DemoCluster) -> None:
    async with aiohttp.ClientSession() as session:
        rows = await asyncio.gather(
            *(_send(session, cluster, call) for call in _make_calls(cluster))
        )
    shown = [row for row in rows if row[-1]]
    click.echo(format_table(('CLASS', 'TARGET', 'STATUS', 'ANSWER'), shown))


@attrs.frozen
class DemoCall:
    """One request of the demo."""

    work_class: str
    target: str
    index: int
    is_service: bool


def _make_calls(cluster: DemoCluster) -> Iterable[DemoCall]:
    document = cluster.document
    for work_class in document.classes:
        own = [
            one for one in document.targets if one.work_class == work_class.name
        ]
        for index in range(_REQUESTS_PER_CLASS):
            if own:
                chosen = own[index % len(own)].name
                yield DemoCall(work_class.name, chosen, index, is_service=False)
            elif document.services:
                service = sorted(document.services)[0]
                yield DemoCall(work_class.name, service, index, is_service=True)


async def _send(
    session: aiohttp.ClientSession,
    cluster: DemoCluster,
    call: DemoCall,
) -> tuple[str, str, int, str]:
    url = cluster.urls[call.index % len(cluster.urls)]
    headers = {'X-Work-Class': call.work_class}
    if call.is_service:
        headers['Idempotency-Key'] = f'demo-{call.work_class}-{call.index}'
        path = f'/services/{call.target}/postings'
        body: dict[str, Any] = {'key': headers['Idempotency-Key']}
    else:
        path = '/v1/chat/completions'
        message = {'role': 'user', 'content': f'Question {call.index}?'}
        body = {'model': call.target, 'messages': [message]}
    async with session.post(url + path, json=body, headers=headers) as response:
        answer = await response.json()
    shown = _shorten(answer) if call.index == 0 else ''
    return call.work_class, call.target, response.status, shown


def _shorten(answer: dict[str, Any]) -> str:
    choices = answer.get('choices')
    text = choices[0]['message']['content'] if choices else str(answer)
    return text[:_SHOWN_CHARACTERS]


def _attainment_table(cluster: DemoCluster) -> str:
    accelerators = sum(
        upstream.kind == 'engine' for upstream in cluster.document.upstreams
    )
    totals: dict[str, tuple[int, int]] = {}
    for entry in cluster.entries:
        for name, tally in entry.statistics.class_counts.items():
            requests, met = totals.get(name, (0, 0))
            totals[name] = (requests + tally.requests, met + tally.met)
    rows = [
        (
            name,
            requests,
            met,
            f'{met / requests:.2f}',
            f'{met / requests / accelerators:.3f}',
        )
        for name, (requests, met) in sorted(totals.items())
    ]
    heading = ('CLASS', 'REQUESTS', 'MET', 'ATTAINMENT', 'PER ACCELERATOR')
    moves = sum(entry.planner.moves for entry in cluster.entries)
    return f'\n{format_table(heading, rows)}\nmoves: {moves}'
