"""The commands of ``bramleybeam ctl``."""

import asyncio
import difflib
import json
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final, NoReturn

import aiohttp
import attrs
import cattrs
import click
from expression import Result

from bramleybeam.checks import Problem
from bramleybeam.documents import Applied, Document, read_document_file
from bramleybeam.keyvalue import HttpKeyValue
from bramleybeam.operators._apply import (
    ApplyError,
    apply_document,
    read_current,
    read_history,
)
from bramleybeam.operators._reference import make_reference
from bramleybeam.operators._tables import format_table
from bramleybeam.settings import ClientSettings, load_settings

EXIT_BAD_INPUT: Final = 2
EXIT_CONFLICT: Final = 3
EXIT_UNAVAILABLE: Final = 4
_TIMEOUT_S: Final = 5.0
_JSON_OPTION = click.option(
    '--json', 'as_json', is_flag=True, help='For programs.'
)


@click.group()
@click.option(
    '--settings',
    'path',
    type=click.Path(path_type=Path),
    envvar='BRAMLEYBEAM_CTL',
    help='TOML settings of the client.',
)
@click.pass_context
def ctl(context: click.Context, path: Path | None) -> None:
    """Operate a deployment: apply documents, ask how things stand."""
    context.obj = path


@ctl.command()
@click.argument('file', type=click.Path(path_type=Path))
def validate(file: Path) -> None:
    """Check a document without applying it."""
    document = _read_document(file)
    click.echo(
        f'{file}: valid; {len(document.models)} models, '
        f'{len(document.adapters)} adapters, {len(document.classes)} classes',
    )


@ctl.command()
@click.argument('page', type=click.Choice(['settings', 'errors']))
def reference(page: str) -> None:
    """Print a reference page, made from the declared constraints."""
    click.echo(make_reference(page), nl=False)


@ctl.command()
@click.argument('file', type=click.Path(path_type=Path))
@click.option('--revision', type=int, required=True, help='Newest you know.')
@click.pass_context
def apply(context: click.Context, file: Path, revision: int) -> None:
    """Apply a document on top of a revision; 0 for the first."""
    document = _read_document(file)
    settings = _load(context)

    async def work(store: HttpKeyValue) -> None:
        _report_applied(
            await apply_document(store, document, revision, settings.operator),
        )

    _run(settings, work)


@ctl.command()
@click.argument('upstream')
@click.option('--revision', type=int, required=True, help='Newest you know.')
@click.option('--undo', is_flag=True, help='Put it back into service.')
@click.pass_context
def drain(
    context: click.Context,
    upstream: str,
    revision: int,
    undo: bool,  # noqa: FBT001
) -> None:
    """Take an upstream out of service, or put it back."""
    settings = _load(context)

    async def work(store: HttpKeyValue) -> None:
        current = await _current(store)
        document = _with_drain(current.document, upstream, undo=undo)
        _report_applied(
            await apply_document(store, document, revision, settings.operator),
        )

    _run(settings, work)


@ctl.command()
@_JSON_OPTION
@click.pass_context
def get(context: click.Context, as_json: bool) -> None:  # noqa: FBT001
    """Show the newest configuration."""

    async def work(store: HttpKeyValue) -> None:
        current = await _current(store)
        if as_json:
            click.echo(json.dumps(cattrs.unstructure(current)))
            return
        click.echo(f'revision {current.revision} by {current.applied_by}')
        click.echo(_document_text(current.document))

    _run(_load(context), work)


@ctl.command()
@click.argument('file', type=click.Path(path_type=Path))
@click.pass_context
def diff(context: click.Context, file: Path) -> None:
    """Show what applying a document would change."""
    document = _read_document(file)

    async def work(store: HttpKeyValue) -> None:
        current = await _current(store)
        lines = difflib.unified_diff(
            _document_text(current.document).splitlines(),
            _document_text(document).splitlines(),
            f'revision {current.revision}',
            str(file),
            lineterm='',
        )
        click.echo('\n'.join(lines))

    _run(_load(context), work)


@ctl.command()
@_JSON_OPTION
@click.pass_context
def history(context: click.Context, as_json: bool) -> None:  # noqa: FBT001
    """List the revisions that the service still keeps."""

    async def work(store: HttpKeyValue) -> None:
        records: list[Any] = _unwrap(await read_history(store))
        if as_json:
            click.echo(json.dumps(records))
            return
        rows = [
            (one['revision'], one['applied_by'], one['applied_at'])
            for one in records
        ]
        click.echo(format_table(('REVISION', 'OPERATOR', 'APPLIED AT'), rows))

    _run(_load(context), work)


@ctl.command()
@_JSON_OPTION
@click.pass_context
def status(context: click.Context, as_json: bool) -> None:  # noqa: FBT001
    """Tell whether targets are met, what is short, and what runs where."""
    body = _ask_entry(_load(context), '/status')
    if as_json:
        click.echo(json.dumps(body))
        return
    click.echo(_status_text(body))


@ctl.command()
@click.argument('name')
@_JSON_OPTION
@click.pass_context
def explain(context: click.Context, name: str, as_json: bool) -> None:  # noqa: FBT001
    """Tell what became of a request, or why a model stands where it does."""
    body = _ask_entry(_load(context), f'/explain/{name}')
    if as_json:
        click.echo(json.dumps(body))
        return
    for part in body.values():
        rows = [(key, json.dumps(found)) for key, found in part.items()]
        click.echo(format_table(('FIELD', 'VALUE'), rows))


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


def _with_drain(document: Document, upstream: str, *, undo: bool) -> Document:
    if upstream not in document.upstreams_by_name:
        _fail(f'{upstream} is not a configured upstream', EXIT_BAD_INPUT)
    others = tuple(name for name in document.drained if name != upstream)
    drained = others if undo else (*others, upstream)
    return attrs.evolve(document, drained=drained)


def _load(context: click.Context) -> ClientSettings:
    if context.obj is None:
        _fail(
            'name the settings: --settings FILE or BRAMLEYBEAM_CTL',
            EXIT_BAD_INPUT,
        )
    match load_settings(context.obj, ClientSettings):
        case Result(tag='ok', ok=settings):
            return settings
        case Result(error=problems):
            _fail_with_problems(problems)


def _read_document(file: Path) -> Document:
    match read_document_file(file):
        case Result(tag='ok', ok=document):
            return document
        case Result(error=problems):
            _fail_with_problems(problems)


def _run(
    settings: ClientSettings,
    work: Callable[[HttpKeyValue], Awaitable[None]],
) -> None:
    async def run() -> None:
        store = HttpKeyValue(settings.keyvalue_url)
        try:
            await work(store)
        finally:
            await store.close()

    asyncio.run(run())


async def _current(store: HttpKeyValue) -> Applied:
    _version, current = _unwrap(await read_current(store))
    if current is None:
        _fail('no configuration has been applied yet', EXIT_BAD_INPUT)
    return current


def _unwrap(outcome: Result[Any, ApplyError]) -> Any:
    match outcome:
        case Result(tag='ok', ok=found):
            return found
        case Result(error=error):
            code = EXIT_CONFLICT if error.conflict else EXIT_UNAVAILABLE
            _fail(f'{error.message} {error.remedy}', code)


def _report_applied(outcome: Result[Any, ApplyError]) -> None:
    applied = _unwrap(outcome)
    suffix = ' (read back after a lost reply)' if applied.was_read_back else ''
    click.echo(f'revision {applied.revision} applied{suffix}')


def _ask_entry(settings: ClientSettings, path: str) -> dict[str, Any]:
    if not settings.entry_url:
        _fail('set entry_url in the settings of ctl', EXIT_BAD_INPUT)

    async def ask() -> tuple[int, dict[str, Any]]:
        limit = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        headers = {'Authorization': f'Bearer {settings.operator_key}'}
        async with (
            aiohttp.ClientSession(timeout=limit, headers=headers) as session,
            session.get(f'{settings.entry_url}{path}') as response,
        ):
            return response.status, await response.json()

    try:
        code, body = asyncio.run(ask())
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        _fail(
            f'the entry does not answer: {error!r}; name another',
            EXIT_UNAVAILABLE,
        )
    if code >= 400:  # noqa: PLR2004
        _fail(f'{body.get("error")} {body.get("remedy", "")}', EXIT_BAD_INPUT)
    return body


def _document_text(document: Document) -> str:
    return json.dumps(cattrs.unstructure(document), indent=2, sort_keys=True)


def _fail_with_problems(problems: list[Problem]) -> NoReturn:
    _fail('\n'.join(str(problem) for problem in problems), EXIT_BAD_INPUT)


def _fail(message: str, code: int) -> NoReturn:
    click.echo(message, err=True)
    sys.exit(code)
