"""Applies documents by compare-and-swap, and confirms ambiguous writes.

The newest document and the history of revisions are values of the key-value
service. When the outcome of a write is unknown, the value is read back.
"""

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

# Keys of the configuration in force and of the list of applied revisions.
CURRENT_KEY: Final = 'configuration/current'
_HISTORY_KEY: Final = 'configuration/history'
# Beyond this size the oldest revisions are dropped from the history.
_HISTORY_LIMIT_BYTES: Final = 200_000
# Attempts to write a key before giving up.
_MAX_WRITE_ATTEMPTS: Final = 5


@attrs.frozen
class ApplyOutcome:
    """A revision that was applied.

    ``was_read_back`` is true if an attempt to write was ambiguous, so that
    the value was read back.
    """

    revision: int
    was_read_back: bool


@attrs.frozen
class ApplyError:
    """Why a document was not applied or read, and what to do.

    ``conflict`` is true if the document was based on an outdated revision.
    """

    message: str
    remedy: str
    conflict: bool = False


async def apply_document(
    store: KeyValue,
    document: Document,
    based_on: int,
    operator: str,
) -> Result[ApplyOutcome, ApplyError]:
    """Apply a document as the next revision after ``based_on``.

    If another operator has applied a revision since, nothing is written and
    the error names both revisions. If the reply to the write is lost, the
    value is read back and recognised by its nonce.
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
    newest_revision = current.revision if current else 0
    if newest_revision != based_on:
        return Error(_conflict(based_on, newest_revision, current))
    outcome = await _write(store, applied, version)
    if outcome.is_ok():
        await _add_history(store, applied)
    return outcome


async def read_current(
    store: KeyValue,
) -> Result[tuple[int, Applied | None], ApplyError]:
    """Return the version of the key and the newest document.

    Before the first document they are 0 and ``None``.
    """
    match await store.get(CURRENT_KEY):
        case Result(tag='error', error=unavailable):
            return Error(_unavailable(unavailable))
        case Result(ok=None):
            return Ok((0, None))
        case Result(ok=Versioned() as stored):
            return _decode(stored)
    raise AssertionError('unreachable: a result is ok or an error')


async def read_history(
    store: KeyValue,
) -> Result[list[dict[str, object]], ApplyError]:
    """Return the records of applied revisions, oldest first."""
    match await store.get(_HISTORY_KEY):
        case Result(tag='error', error=unavailable):
            return Error(_unavailable(unavailable))
        case Result(ok=None):
            return Ok([])
        case Result(ok=Versioned() as stored):
            return Ok(json.loads(stored.text))
    raise AssertionError('unreachable: a result is ok or an error')


async def _write(
    store: KeyValue,
    applied: Applied,
    version: int,
) -> Result[ApplyOutcome, ApplyError]:
    text = encode_applied(applied)
    was_read_back = False
    for _ in range(_MAX_WRITE_ATTEMPTS):
        match await store.swap(CURRENT_KEY, text, version):
            case Result(tag='ok'):
                return Ok(ApplyOutcome(applied.revision, was_read_back))
            case Result(error=Unavailable() as unavailable):
                return Error(_unavailable(unavailable))
            # A conflict may be caused by the attempt before, if its reply was
            # lost but the write took effect.
            case Result(error=Conflict() | Ambiguous()):
                was_read_back = True
        known_outcome = await _read_back(store, applied, version)
        if known_outcome is not None:
            return known_outcome
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
    """Return the outcome of a write, or ``None`` if it has to be repeated."""
    read = await read_current(store)
    if read.is_error():
        return None
    stored_version, current = read.ok
    if current is not None and current.nonce == applied.nonce:
        return Ok(ApplyOutcome(applied.revision, was_read_back=True))
    if stored_version == version:
        return None
    newest_revision = current.revision if current else 0
    return Error(_conflict(applied.revision - 1, newest_revision, current))


async def _add_history(store: KeyValue, applied: Applied) -> None:
    """Add a revision to the history, unless each attempt to write it fails.

    A failure is ignored, because the revision itself has been applied.
    """
    record = {
        'revision': applied.revision,
        'applied_by': applied.applied_by,
        'applied_at': applied.applied_at,
        'document': json.loads(encode_applied(applied))['document'],
    }
    for _ in range(_MAX_WRITE_ATTEMPTS):
        match await store.get(_HISTORY_KEY):
            case Result(tag='ok', ok=None):
                version, records = 0, []
            case Result(tag='ok', ok=Versioned() as stored):
                version, records = stored.version, json.loads(stored.text)
            case _:
                continue
        if any(past['revision'] == applied.revision for past in records):
            return
        records.append(record)
        while (
            len(records) > 1 and len(json.dumps(records)) > _HISTORY_LIMIT_BYTES
        ):
            records.pop(0)
        outcome = await store.swap(_HISTORY_KEY, json.dumps(records), version)
        if outcome.is_ok():
            return


def _decode(
    stored: Versioned,
) -> Result[tuple[int, Applied | None], ApplyError]:
    decoded = decode_applied(stored.text)
    if decoded.is_ok():
        return Ok((stored.version, decoded.ok))
    return Error(
        ApplyError(
            'The stored configuration cannot be read by this version.',
            'Use the version of ctl that the entries run.',
        ),
    )


def _conflict(
    based_on: int,
    newest_revision: int,
    current: Applied | None,
) -> ApplyError:
    author = current.applied_by if current else 'nobody'
    return ApplyError(
        f'Revision {based_on} is not the newest: {author} applied {newest_revision}.',
        f'Look at "ctl diff", then apply with --revision {newest_revision}.',
        conflict=True,
    )


def _unavailable(unavailable: Unavailable) -> ApplyError:
    return ApplyError(
        f'The key-value service does not answer: {unavailable.reason}',
        'Nothing was written. Try again when it is back.',
    )
