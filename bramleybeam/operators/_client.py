"""Functions that the commands of the operators' client share.

On failure they print a message and end the process with one of the exit
statuses below.
"""

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
from bramleybeam.replies import read_json_body
from bramleybeam.settings import ClientSettings, load_settings

# Exit statuses.
EXIT_BAD_INPUT: Final = 2
EXIT_CONFLICT: Final = 3
EXIT_UNAVAILABLE: Final = 4
EXIT_NOT_FOUND: Final = 5
# Limits a whole request to an entry.
_REQUEST_TIMEOUT_S: Final = 5.0
# Raised by a request that fails or whose answer can't be decoded.
_CALL_FAILURES: Final = (
    aiohttp.ClientError,
    OSError,
    TimeoutError,
    ValueError,
)
# The lowest HTTP status of an error response.
_FIRST_ERROR_STATUS: Final = 400
JSON_OPTION = click.option(
    '--json', 'as_json', is_flag=True, help='For programs.'
)


def load_client(context: click.Context) -> ClientSettings:
    """Return the settings of the client, or exit with ``EXIT_BAD_INPUT``."""
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
    """Return the checked document of a file, or exit with ``EXIT_BAD_INPUT``."""
    match read_document_file(file):
        case Result(tag='ok', ok=document):
            return document
        case Result(error=problems):
            fail_with_problems(problems)


def run_with_store(
    settings: ClientSettings,
    operation: Callable[[HttpKeyValue], Awaitable[None]],
) -> None:
    """Run an operation with a client of the key-value service, and close it."""

    async def run() -> None:
        store = HttpKeyValue(settings.keyvalue_url)
        try:
            await operation(store)
        finally:
            await store.close()

    asyncio.run(run())


async def read_newest(store: HttpKeyValue) -> Applied:
    """Return the newest document, or exit if there is none or no answer."""
    _version, current = unwrap(await read_current(store))
    if current is None:
        fail('no configuration has been applied yet', EXIT_BAD_INPUT)
    return current


def unwrap(outcome: Result[Any, ApplyError]) -> Any:
    """Return the value of a result, or exit with its error message.

    The exit status is ``EXIT_CONFLICT`` if the document was based on an
    outdated revision, else ``EXIT_UNAVAILABLE``.
    """
    match outcome:
        case Result(tag='ok', ok=value):
            return value
        case Result(error=error):
            exit_status = EXIT_CONFLICT if error.conflict else EXIT_UNAVAILABLE
            fail(f'{error.message} {error.remedy}', exit_status)


def report_applied(outcome: Result[Any, ApplyError]) -> None:
    """Print the revision that was applied, or exit with the error."""
    applied = unwrap(outcome)
    suffix = ' (read back after a lost reply)' if applied.was_read_back else ''
    click.echo(f'revision {applied.revision} applied{suffix}')


def ask_entry(settings: ClientSettings, path: str) -> dict[str, Any]:
    """Return the JSON answer of an entry's operator port, or exit."""
    if not settings.entry_url:
        fail('set entry_url in the settings of ctl', EXIT_BAD_INPUT)

    async def ask() -> tuple[int, dict[str, Any]]:
        request_timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
        headers = {'Authorization': f'Bearer {settings.operator_key}'}
        async with (
            aiohttp.ClientSession(
                timeout=request_timeout, headers=headers
            ) as session,
            session.get(f'{settings.entry_url}{path}') as response,
        ):
            return response.status, await read_json_body(response)

    try:
        http_status, body = asyncio.run(ask())
    except _CALL_FAILURES as error:
        fail(
            f'the entry does not answer: {error!r}; set entry_url to another',
            EXIT_UNAVAILABLE,
        )
    if http_status >= _FIRST_ERROR_STATUS:
        fail(f'{body.get("error")} {body.get("remedy", "")}', EXIT_BAD_INPUT)
    return body


def document_text(document: Document) -> str:
    """Return a document as JSON text with sorted keys, fit for a diff."""
    return json.dumps(cattrs.unstructure(document), indent=2, sort_keys=True)


def fail_with_problems(problems: list[Problem]) -> NoReturn:
    """Print every problem and exit with ``EXIT_BAD_INPUT``."""
    fail('\n'.join(str(problem) for problem in problems), EXIT_BAD_INPUT)


def fail(message: str, exit_status: int) -> NoReturn:
    """Print a message on standard error and exit."""
    click.echo(message, err=True)
    sys.exit(exit_status)
