"""Read-only commands: status, explain, trace, unserved, report, reference.

The help texts of the commands are their docstrings.
"""

import json
from collections.abc import Iterable
from datetime import datetime
from pathlib import Path
from typing import Any, Final

import attrs
import click

from bramleybeam.keyvalue.http import HttpKeyValue
from bramleybeam.operators._client import (
    EXIT_NOT_FOUND,
    EXIT_UNAVAILABLE,
    JSON_OPTION,
    ask_entry,
    fail,
    load_client,
    read_newest,
    run_with_store,
)
from bramleybeam.operators._reference import make_reference
from bramleybeam.operators._report import (
    read_report,
    render_report_page,
    report_to_dict,
)
from bramleybeam.operators._tables import format_table
from bramleybeam.operators._trace import (
    TraceLine,
    parse_lines,
    trace_request,
)
from bramleybeam.operators._unserved import read_histories

_LOGS_ARGUMENT: Final = click.argument(
    'logs',
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
_UNSERVED_HEADING: Final = (
    'MODEL',
    'ADAPTER',
    'ASKED',
    'ANSWERED',
    'LOADS',
    'UNLOADS',
    'SECONDS',
)


@click.command()
@JSON_OPTION
@click.pass_context
def status(context: click.Context, as_json: bool) -> None:  # noqa: FBT001
    """Show if targets are met, which models are unreachable, what runs where."""
    body = ask_entry(load_client(context), '/status')
    if as_json:
        click.echo(json.dumps(body))
        return
    click.echo(_format_status(body))


@click.command()
@click.argument('name')
@JSON_OPTION
@click.pass_context
def explain(context: click.Context, name: str, as_json: bool) -> None:  # noqa: FBT001
    """Show the outcome of a request, or why a model is placed where it is."""
    body = ask_entry(load_client(context), f'/explain/{name}')
    if as_json:
        click.echo(json.dumps(body))
        return
    for part in body.values():
        rows = [(key, json.dumps(value)) for key, value in part.items()]
        click.echo(format_table(('FIELD', 'VALUE'), rows))


@click.command()
@click.argument('request_id')
@_LOGS_ARGUMENT
@JSON_OPTION
def trace(
    request_id: str,
    logs: tuple[Path, ...],
    as_json: bool,  # noqa: FBT001
) -> None:
    """Show from log files the outcome of a request, and what explains it."""
    trace_lines = trace_request(_read_logs(logs), request_id)
    if not trace_lines:
        fail(f'No line of these logs names {request_id}.', EXIT_NOT_FOUND)
    rows = [
        (
            line.timestamp.isoformat(timespec='milliseconds'),
            line.process,
            line.event,
            json.dumps(line.details),
        )
        for line in trace_lines
    ]
    if as_json:
        click.echo(json.dumps(rows))
        return
    click.echo(format_table(('TIME', 'PROCESS', 'LINE', 'TELLS'), rows))


@click.command()
@_LOGS_ARGUMENT
@click.option('--most', default=40, help='Rows to show.')
@JSON_OPTION
def unserved(
    logs: tuple[Path, ...],
    most: int,
    as_json: bool,  # noqa: FBT001
) -> None:
    """Count models and adapters that were requested and never served.

    The rows are those with the fewest answered requests, which are closest to
    never being served.
    """
    histories = read_histories(_read_logs(logs))
    if as_json:
        click.echo(
            json.dumps(
                [attrs.asdict(target) for target in histories], default=str
            )
        )
        return
    never_served = sum(not target.answered for target in histories)
    click.echo(f'never served: {never_served} of {len(histories)}')
    rows = [
        (
            target.model,
            target.adapter,
            target.asks,
            target.answered,
            target.loads,
            target.unloads,
            f'{target.span_s:.1f}',
        )
        for target in histories[:most]
    ]
    click.echo(format_table(_UNSERVED_HEADING, rows))


@click.command()
@click.option('--from', 'begin', type=click.DateTime(), required=True)
@click.option('--to', 'end', type=click.DateTime(), required=True)
@click.option(
    '--page', type=click.Path(path_type=Path), help='Write HTML here.'
)
@click.pass_context
def report(
    context: click.Context,
    begin: datetime,
    end: datetime,
    page: Path | None,
) -> None:
    """Report revisions in force and outcomes of requests; times in UTC."""

    async def operation(store: HttpKeyValue) -> None:
        current = await read_newest(store)
        read = await read_report(store, begin, end)
        if read.is_error():
            fail(f'the service does not answer: {read.error}', EXIT_UNAVAILABLE)
        accelerators = sum(
            upstream.kind == 'engine' for upstream in current.document.upstreams
        )
        contents = report_to_dict(read.ok, accelerators)
        if page is None:
            click.echo(json.dumps(contents))
            return
        page.write_text(render_report_page(contents))

    run_with_store(load_client(context), operation)


@click.command()
@click.argument('page', type=click.Choice(['settings', 'errors']))
def reference(page: str) -> None:
    """Print a reference page, made from the declared constraints."""
    click.echo(make_reference(page), nl=False)


def _read_logs(paths: Iterable[Path]) -> list[TraceLine]:
    lines: list[TraceLine] = []
    for path in paths:
        with path.open(errors='replace') as log_file:
            lines.extend(parse_lines(log_file))
    return lines


def _format_status(body: dict[str, Any]) -> str:
    """Return the answer to ``/status`` as text with two tables."""
    classes = format_table(
        ('CLASS', 'REQUESTS', 'MET', 'LATE', 'REFUSED', 'UNKNOWN'),
        [
            (
                name,
                counts['requests'],
                counts['met'],
                counts['late'],
                counts['refused'],
                counts['unknown'],
            )
            for name, counts in sorted(body['classes'].items())
        ],
    )
    upstreams = format_table(
        ('UPSTREAM', 'ZONE', 'USABLE', 'IN FLIGHT', 'MODELS'),
        [
            (
                upstream_status['name'],
                upstream_status['zone'],
                upstream_status['usable'],
                upstream_status['in_flight'],
                len(upstream_status['models']),
            )
            for upstream_status in sorted(
                body['upstreams'],
                key=lambda upstream_status: upstream_status['name'],
            )
        ],
    )
    outdated = [
        f'{process} has {revision}'
        for process, revision in sorted(body['revisions'].items())
        if revision != body['revision']
    ]
    rollout = ', '.join(outdated) or 'in force on every process'
    unreachable = ', '.join(body['unreachable']) or 'none'
    return '\n'.join(
        (
            f'revision {body["revision"]}: {rollout}',
            f'models out of reach: {unreachable}',
            '',
            classes,
            '',
            upstreams,
        )
    )
