"""``bramleybeam demo``: sends requests to a deployment, or serves it."""

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
_START_TIMEOUT_S: Final = 120
_REQUESTS_PER_CLASS: Final = 8
_MAX_ANSWER_CHARACTERS: Final = 48
_ZONES_BY_DEPLOYMENT: Final = MappingProxyType(
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
@click.option('--serve', is_flag=True, help='Serve callers until Ctrl-C.')
@click.option(
    '--listen',
    default=SERVE_ADDRESS,
    help='IP:PORT of the first entry with --serve.',
)
@click.option(
    '--time-scale',
    default=0.25,
    help='Factor on the durations of the stand-ins.',
)
def demo(
    documents: tuple[Path, ...],
    serve: bool,  # noqa: FBT001
    listen: str,
    time_scale: float,
) -> None:
    """Run each deployment document with all its roles in one process."""
    configure_logs('error', sys.stderr, process='demo')
    for path in documents:
        match read_document_file(path):
            case Result(tag='ok', ok=document):
                options = DemoOptions(
                    zones=_ZONES_BY_DEPLOYMENT.get(
                        document.deployment.name, ('zone-a',)
                    ),
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
    """Start a deployment and serve it, or send it requests of each class.

    With ``serve`` it runs until SIGINT or SIGTERM. Without, it prints one
    answer and the share of requests within their target for each class.
    """
    cluster = DemoCluster(document, options)
    try:
        await _run_cluster(cluster, serve=serve)
    finally:
        await cluster.close()


async def _run_cluster(cluster: DemoCluster, *, serve: bool) -> None:
    started_at = time.monotonic()
    await cluster.start()
    await cluster.wait_reachable(_START_TIMEOUT_S)
    elapsed_s = time.monotonic() - started_at
    document = cluster.document
    click.echo(
        f'\n{document.deployment.name}: {len(document.models)} models on '
        f'{len(document.upstreams)} upstreams reachable in {elapsed_s:.1f} s',
    )
    if serve:
        await _serve_until_stopped(cluster)
        return
    await _show_requests(cluster)
    click.echo(_format_attainment(cluster))


async def _serve_until_stopped(cluster: DemoCluster) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop.set)
    # Whoever reads this line may stop the process at once.
    click.echo(f'callers: {cluster.urls[0]}/v1  (Ctrl-C stops it)')
    await stop.wait()


async def _show_requests(cluster: DemoCluster) -> None:
    async with aiohttp.ClientSession() as session:
        rows = await asyncio.gather(
            *(
                _send_request(session, cluster, request)
                for request in _make_requests(cluster)
            )
        )
    shown_rows = [row for row in rows if row[-1]]
    click.echo(
        format_table(('CLASS', 'TARGET', 'STATUS', 'ANSWER'), shown_rows)
    )


@attrs.frozen
class DemoRequest:
    """A request that the demo sends to a model, an adapter or a service.

    ``index`` counts the requests of its class from 0.
    """

    work_class: str
    target: str
    index: int
    is_service: bool


def _make_requests(cluster: DemoCluster) -> Iterable[DemoRequest]:
    document = cluster.document
    for work_class in document.classes:
        class_targets = [
            candidate
            for candidate in document.targets
            if candidate.work_class == work_class.name
        ]
        for index in range(_REQUESTS_PER_CLASS):
            if class_targets:
                target_name = class_targets[index % len(class_targets)].name
                yield DemoRequest(
                    work_class.name, target_name, index, is_service=False
                )
            elif document.services:
                service = sorted(document.services)[0]
                yield DemoRequest(
                    work_class.name, service, index, is_service=True
                )


async def _send_request(
    session: aiohttp.ClientSession,
    cluster: DemoCluster,
    request: DemoRequest,
) -> tuple[str, str, int, str]:
    url = cluster.urls[request.index % len(cluster.urls)]
    headers = {'X-Work-Class': request.work_class}
    if request.is_service:
        headers['Idempotency-Key'] = (
            f'demo-{request.work_class}-{request.index}'
        )
        path = f'/services/{request.target}/postings'
        body: dict[str, Any] = {'key': headers['Idempotency-Key']}
    else:
        path = '/v1/chat/completions'
        message = {'role': 'user', 'content': f'Question {request.index}?'}
        body = {'model': request.target, 'messages': [message]}
    async with session.post(url + path, json=body, headers=headers) as response:
        body_json = await response.json()
    answer_text = _summarize_answer(body_json) if request.index == 0 else ''
    return request.work_class, request.target, response.status, answer_text


def _summarize_answer(body_json: dict[str, Any]) -> str:
    choices = body_json.get('choices')
    text = choices[0]['message']['content'] if choices else str(body_json)
    return text[:_MAX_ANSWER_CHARACTERS]


def _format_attainment(cluster: DemoCluster) -> str:
    accelerators = sum(
        upstream.kind == 'engine' for upstream in cluster.document.upstreams
    )
    totals: dict[str, tuple[int, int]] = {}
    for entry in cluster.entries:
        for name, class_count in entry.statistics.class_counts.items():
            requests, met = totals.get(name, (0, 0))
            totals[name] = (
                requests + class_count.requests,
                met + class_count.met,
            )
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
