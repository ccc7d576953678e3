"""Commands that ask: status, explain, report and reference."""

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
    report_json,
    report_page,
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
    """Tell whether targets are met, what is short, and what runs where."""
    body = ask_entry(load_client(context), '/status')
    if as_json:
        click.echo(json.dumps(body))
        return
    click.echo(_status_text(body))


@click.command()
@click.argument('name')
@JSON_OPTION
@click.pass_context
def explain(context: click.Context, name: str, as_json: bool) -> None:  # noqa: FBT001
    """Tell what became of a request, or why a model stands where it does."""
    body = ask_entry(load_client(context), f'/explain/{name}')
    if as_json:
        click.echo(json.dumps(body))
        return
    for part in body.values():
        rows = [(key, json.dumps(found)) for key, found in part.items()]
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
    """Show from log files what became of a request, and what explains it."""
    found = trace_request(_read_logs(logs), request_id)
    if not found:
        fail(f'No line of these logs names {request_id}.', EXIT_NOT_FOUND)
    rows = [
        (
            line.moment.isoformat(timespec='milliseconds'),
            line.process,
            line.event,
            json.dumps(line.details),
        )
        for line in found
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
    """Count models and adapters that were asked for and never served.

    The rows are those that were served least, with the margin that is left.
    """
    histories = read_histories(_read_logs(logs))
    if as_json:
        click.echo(
            json.dumps([attrs.asdict(one) for one in histories], default=str)
        )
        return
    never = sum(not one.answered for one in histories)
    click.echo(f'never served: {never} of {len(histories)}')
    rows = [
        (
            one.model,
            one.adapter,
            one.asks,
            one.answered,
            one.loads,
            one.unloads,
            f'{one.span_s:.1f}',
        )
        for one in histories[:most]
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
    """Prove what was in force and what came of requests; times in UTC."""

    async def work(store: HttpKeyValue) -> None:
        current = await read_newest(store)
        read = await read_report(store, begin, end)
        if read.is_error():
            fail(f'the service does not answer: {read.error}', EXIT_UNAVAILABLE)
        accelerators = sum(
            upstream.kind == 'engine' for upstream in current.document.upstreams
        )
        shaped = report_json(read.ok, accelerators)
        if page is None:
            click.echo(json.dumps(shaped))
            return
        page.write_text(report_page(shaped))

    run_with_store(load_client(context), work)


@click.command()
@click.argument('page', type=click.Choice(['settings', 'errors']))
def reference(page: str) -> None:
    """Print a reference page, made from the declared constraints."""
    click.echo(make_reference(page), nl=False)


def _read_logs(paths: Iterable[Path]) -> list[TraceLine]:
    lines: list[TraceLine] = []
    for path in paths:
        with path.open(errors='replace') as texts:
            lines.extend(parse_lines(texts))
    return lines


def _status_text(body: dict[str, Any]) -> str:
    classes = format_table(
        ('CLASS', 'REQUESTS', 'MET', 'LATE', 'REFUSED', 'UNKNOWN'),
        [
            (
                name,
                one['requests'],
                one['met'],
                one['late'],
                one['refused'],
                one['unknown'],
            )
            for name, one in sorted(body['classes'].items())
        ],
    )
    upstreams = format_table(
        ('UPSTREAM', 'ZONE', 'USABLE', 'IN FLIGHT', 'MODELS'),
        [
            (
                one['name'],
                one['zone'],
                one['usable'],
                one['in_flight'],
                len(one['models']),
            )
            for one in sorted(body['upstreams'], key=lambda one: one['name'])
        ],
    )
    behind = [
        f'{process} has {revision}'
        for process, revision in sorted(body['revisions'].items())
        if revision != body['revision']
    ]
    everywhere = ', '.join(behind) or 'in force on every process'
    short = ', '.join(body['unreachable']) or 'none'
    return '\n'.join(
        (
            f'revision {body["revision"]}: {everywhere}',
            f'models out of reach: {short}',
            '',
            classes,
            '',
            upstreams,
        )
    )
