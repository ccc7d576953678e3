"""What the commands of the operators' client share."""

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final, NoReturn

import aiohttp
import cattrs
import click
from expression import Result

from bramleybeam.checks import Problem
from bramleybeam.documents import Applied, Document, read_document_file
from bramleybeam.keyvalue.http import HttpKeyValue
from bramleybeam.operators._apply import ApplyError, read_current
from bramleybeam.settings import ClientSettings, load_settings

EXIT_BAD_INPUT: Final = 2
EXIT_CONFLICT: Final = 3
EXIT_UNAVAILABLE: Final = 4
EXIT_NOT_FOUND: Final = 5
_TIMEOUT_S: Final = 5.0
_HTTP_ERROR: Final = 400
JSON_OPTION = click.option(
    '--json', 'as_json', is_flag=True, help='For programs.'
)


def load_client(context: click.Context) -> ClientSettings:
    """Load the settings of the client, or end with 2."""
    if context.obj is None:
        fail(
            'name the settings: --settings FILE or BRAMLEYBEAM_CTL',
            EXIT_BAD_INPUT,
        )
    match load_settings(context.obj, ClientSettings):
        case Result(tag='ok', ok=settings):
            return settings
        case Result(error=problems):
            fail_with_problems(problems)


def read_document(file: Path) -> Document:
    """Read and check a document, or end with 2."""
    match read_document_file(file):
        case Result(tag='ok', ok=document):
            return document
        case Result(error=problems):
            fail_with_problems(problems)


def run_with_store(
    settings: ClientSettings,
    work: Callable[[HttpKeyValue], Awaitable[None]],
) -> None:
    """Run work that speaks to the key-value service."""

    async def run() -> None:
        store = HttpKeyValue(settings.keyvalue_url)
        try:
            await work(store)
        finally:
            await store.close()

    asyncio.run(run())


async def read_newest(store: HttpKeyValue) -> Applied:
    """Read the newest configuration, or end."""
    _version, current = unwrap(await read_current(store))
    if current is None:
        fail('no configuration has been applied yet', EXIT_BAD_INPUT)
    return current


def unwrap(outcome: Result[Any, ApplyError]) -> Any:
    """Return what went well, or end with the fitting exit code."""
    match outcome:
        case Result(tag='ok', ok=found):
            return found
        case Result(error=error):
            code = EXIT_CONFLICT if error.conflict else EXIT_UNAVAILABLE
            fail(f'{error.message} {error.remedy}', code)


def report_applied(outcome: Result[Any, ApplyError]) -> None:
    """Print the revision that was applied."""
    applied = unwrap(outcome)
    suffix = ' (read back after a lost reply)' if applied.was_read_back else ''
    click.echo(f'revision {applied.revision} applied{suffix}')


def ask_entry(settings: ClientSettings, path: str) -> dict[str, Any]:
    """Ask an entry on its operators' port, or end."""
    if not settings.entry_url:
        fail('set entry_url in the settings of ctl', EXIT_BAD_INPUT)

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
        fail(
            f'the entry does not answer: {error!r}; name another',
            EXIT_UNAVAILABLE,
        )
    if code >= _HTTP_ERROR:
        fail(f'{body.get("error")} {body.get("remedy", "")}', EXIT_BAD_INPUT)
    return body


def document_text(document: Document) -> str:
    """Show a document as text that can be compared."""
    return json.dumps(cattrs.unstructure(document), indent=2, sort_keys=True)


def fail_with_problems(problems: list[Problem]) -> NoReturn:
    """Print every problem and end with 2."""
    fail('\n'.join(str(problem) for problem in problems), EXIT_BAD_INPUT)


def fail(message: str, code: int) -> NoReturn:
    """Print a message and end with an exit code."""
    click.echo(message, err=True)
    sys.exit(code)
