"""The group ``bramleybeam ctl``, and its commands on documents."""

import difflib
import json
from pathlib import Path
from typing import Any

import attrs
import cattrs
import click

from bramleybeam.documents import Document
from bramleybeam.keyvalue.http import HttpKeyValue
from bramleybeam.operators._apply import apply_document, read_history
from bramleybeam.operators._client import (
    EXIT_BAD_INPUT,
    JSON_OPTION,
    document_text,
    fail,
    load_client,
    read_document,
    read_newest,
    report_applied,
    run_with_store,
    unwrap,
)
from bramleybeam.operators._queries import (
    explain,
    reference,
    report,
    status,
    trace,
    unserved,
)
from bramleybeam.operators._tables import format_table


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
    """Operate a deployment: apply documents and query its state."""
    context.obj = path


@ctl.command()
@click.argument('file', type=click.Path(path_type=Path))
def validate(file: Path) -> None:
    """Check a document without applying it."""
    document = read_document(file)
    click.echo(
        f'{file}: valid; {len(document.models)} models, '
        f'{len(document.adapters)} adapters, {len(document.classes)} classes',
    )


@ctl.command()
@click.argument('file', type=click.Path(path_type=Path))
@click.option('--revision', type=int, required=True, help='Newest you know.')
@click.pass_context
def apply(context: click.Context, file: Path, revision: int) -> None:
    """Apply a document on top of a revision; 0 for the first."""
    document = read_document(file)
    settings = load_client(context)

    async def operation(store: HttpKeyValue) -> None:
        report_applied(
            await apply_document(store, document, revision, settings.operator),
        )

    run_with_store(settings, operation)


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
    settings = load_client(context)

    async def operation(store: HttpKeyValue) -> None:
        current = await read_newest(store)
        document = _with_drain(current.document, upstream, undo=undo)
        report_applied(
            await apply_document(store, document, revision, settings.operator),
        )

    run_with_store(settings, operation)


@ctl.command()
@JSON_OPTION
@click.pass_context
def get(context: click.Context, as_json: bool) -> None:  # noqa: FBT001
    """Show the newest configuration."""

    async def operation(store: HttpKeyValue) -> None:
        current = await read_newest(store)
        if as_json:
            click.echo(json.dumps(cattrs.unstructure(current)))
            return
        click.echo(f'revision {current.revision} by {current.applied_by}')
        click.echo(document_text(current.document))

    run_with_store(load_client(context), operation)


@ctl.command()
@click.argument('file', type=click.Path(path_type=Path))
@click.pass_context
def diff(context: click.Context, file: Path) -> None:
    """Show what applying a document would change."""
    document = read_document(file)

    async def operation(store: HttpKeyValue) -> None:
        current = await read_newest(store)
        lines = difflib.unified_diff(
            document_text(current.document).splitlines(),
            document_text(document).splitlines(),
            f'revision {current.revision}',
            str(file),
            lineterm='',
        )
        click.echo('\n'.join(lines))

    run_with_store(load_client(context), operation)


@ctl.command()
@JSON_OPTION
@click.pass_context
def history(context: click.Context, as_json: bool) -> None:  # noqa: FBT001
    """List the revisions that the service still keeps."""

    async def operation(store: HttpKeyValue) -> None:
        records: list[Any] = unwrap(await read_history(store))
        if as_json:
            click.echo(json.dumps(records))
            return
        rows = [
            (record['revision'], record['applied_by'], record['applied_at'])
            for record in records
        ]
        click.echo(format_table(('REVISION', 'OPERATOR', 'APPLIED AT'), rows))

    run_with_store(load_client(context), operation)


def _with_drain(document: Document, upstream: str, *, undo: bool) -> Document:
    """Return the document with an upstream drained, or no longer drained."""
    if upstream not in document.upstreams_by_name:
        fail(f'{upstream} is not a configured upstream', EXIT_BAD_INPUT)
    others = tuple(name for name in document.drained if name != upstream)
    drained = others if undo else (*others, upstream)
    return attrs.evolve(document, drained=drained)


ctl.add_command(status)
ctl.add_command(explain)
ctl.add_command(report)
ctl.add_command(reference)
ctl.add_command(trace)
ctl.add_command(unserved)
