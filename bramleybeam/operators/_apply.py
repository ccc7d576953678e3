"""Applies a document by compare-and-swap, and reads doubtful writes back."""

import json
import time
from typing import Final

import attrs
from expression import Error, Ok, Result

from bramleybeam.documents import (
    Applied,
    Document,
    decode_applied,
    encode_applied,
)
from bramleybeam.identity import make_unique_id
from bramleybeam.keyvalue import (
    Ambiguous,
    Conflict,
    KeyValue,
    Unavailable,
    Versioned,
)

CURRENT_KEY: Final = 'configuration/current'
_HISTORY_KEY: Final = 'configuration/history'
_HISTORY_LIMIT_BYTES: Final = 200_000
_WRITE_TRIES: Final = 5


@attrs.frozen
class ApplyOutcome:
    """A revision that is now the newest."""

    revision: int
    was_read_back: bool


@attrs.frozen
class ApplyError:
    """Why a document was not applied, and what to do."""

    message: str
    remedy: str
    conflict: bool = False


async def apply_document(
    store: KeyValue,
    document: Document,
    based_on: int,
    operator: str,
) -> Result[ApplyOutcome, ApplyError]:
    """Make a document the next revision after ``based_on``.

    When another operator has applied one in between, nothing is written and
    both revisions are named. When the reply to the write is lost, the value
    is read back and recognised by its nonce.
    """
    applied = Applied(
        revision=based_on + 1,
        document=document,
        applied_by=operator,
        applied_at=time.time(),
        nonce=make_unique_id('apply'),
    )
    read = await read_current(store)
    match read:
        case Result(tag='error', error=error):
            return Error(error)
        case Result(ok=(version, current)):
            pass
    found = current.revision if current else 0
    if found != based_on:
        return Error(_conflict(based_on, found, current))
    outcome = await _write(store, applied, version)
    if outcome.is_ok():
        await _add_history(store, applied)
    return outcome


async def read_current(
    store: KeyValue,
) -> Result[tuple[int, Applied | None], ApplyError]:
    """Read the newest revision and the version of its key."""
    match await store.get(CURRENT_KEY):
        case Result(tag='error', error=unavailable):
            return Error(_unavailable(unavailable))
        case Result(ok=None):
            return Ok((0, None))
        case Result(ok=Versioned() as found):
            return _decode(found)
    raise AssertionError('a result is ok or an error')


async def read_history(
    store: KeyValue,
) -> Result[list[dict[str, object]], ApplyError]:
    """Read the list of past revisions, oldest first."""
    match await store.get(_HISTORY_KEY):
        case Result(tag='error', error=unavailable):
            return Error(_unavailable(unavailable))
        case Result(ok=None):
            return Ok([])
        case Result(ok=Versioned() as found):
            return Ok(json.loads(found.text))
    raise AssertionError('a result is ok or an error')


async def _write(
    store: KeyValue,
    applied: Applied,
    version: int,
) -> Result[ApplyOutcome, ApplyError]:
    text = encode_applied(applied)
    was_read_back = False
    for _ in range(_WRITE_TRIES):
        match await store.swap(CURRENT_KEY, text, version):
            case Result(tag='ok'):
                return Ok(ApplyOutcome(applied.revision, was_read_back))
            case Result(error=Unavailable() as unavailable):
                return Error(_unavailable(unavailable))
            case Result(error=Conflict() | Ambiguous()):
                was_read_back = True
        settled = await _read_back(store, applied, version)
        if settled is not None:
            return settled
    return Error(
        ApplyError(
            'It is not known whether the document was applied.',
            'Run "ctl get" once the service answers; apply again if needed.',
        ),
    )


async def _read_back(
    store: KeyValue,
    applied: Applied,
    version: int,
) -> Result[ApplyOutcome, ApplyError] | None:
    read = await read_current(store)
    if read.is_error():
        return None
    found_version, current = read.ok
    if current is not None and current.nonce == applied.nonce:
        return Ok(ApplyOutcome(applied.revision, was_read_back=True))
    if found_version == version:
        return None
    found = current.revision if current else 0
    return Error(_conflict(applied.revision - 1, found, current))


async def _add_history(store: KeyValue, applied: Applied) -> None:
    record = {
        'revision': applied.revision,
        'applied_by': applied.applied_by,
        'applied_at': applied.applied_at,
        'document': json.loads(encode_applied(applied))['document'],
    }
    for _ in range(_WRITE_TRIES):
        match await store.get(_HISTORY_KEY):
            case Result(tag='ok', ok=None):
                version, known = 0, []
            case Result(tag='ok', ok=Versioned() as found):
                version, known = found.version, json.loads(found.text)
            case _:
                continue
        if any(one['revision'] == applied.revision for one in known):
            return
        known.append(record)
        while len(known) > 1 and len(json.dumps(known)) > _HISTORY_LIMIT_BYTES:
            known.pop(0)
        outcome = await store.swap(_HISTORY_KEY, json.dumps(known), version)
        if outcome.is_ok():
            return


def _decode(
    found: Versioned,
) -> Result[tuple[int, Applied | None], ApplyError]:
    decoded = decode_applied(found.text)
    if decoded.is_ok():
        return Ok((found.version, decoded.ok))
    return Error(
        ApplyError(
            'The stored configuration cannot be read by this version.',
            'Use the version of ctl that the entries run.',
        ),
    )


def _conflict(
    based_on: int,
    found: int,
    current: Applied | None,
) -> ApplyError:
    author = current.applied_by if current else 'nobody'
    return ApplyError(
        f'Revision {based_on} is not the newest: {author} applied {found}.',
        f'Look at "ctl diff", then apply with --revision {found}.',
        conflict=True,
    )


def _unavailable(unavailable: Unavailable) -> ApplyError:
    return ApplyError(
        f'The key-value service does not answer: {unavailable.reason}',
        'Nothing was written. Try again when it is back.',
    )
