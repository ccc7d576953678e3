"""The records of one partition, as a sequence of segments.

A segment is one key in the key-value service. Records are appended by
compare-and-swap on the last segment. The write that fills a segment also seals
it, and the next record opens the following segment. A committer must therefore
have read all records before it appends. When two committers append
concurrently, one of them fails and reads the records of the other, so no lease
is needed.
"""

import json
from collections.abc import Sequence
from typing import Any, Final

import attrs
import cattrs
from expression import Error, Ok, Result

from bramleybeam.decisions import ClaimIndex, ClaimRecord
from bramleybeam.keyvalue import KeyValue, Unavailable, Versioned

# A segment whose text is longer than this is sealed.
SEGMENT_BYTES: Final = 100_000
# Number of retained segments, including the last one.
MAX_SEGMENTS: Final = 20
_MAX_HEAD_TRIES: Final = 3


@attrs.define
class _Segment:
    number: int
    version: int = 0
    sealed: bool = False
    records: list[ClaimRecord] = attrs.field(factory=list)


@attrs.frozen
class AppendConflict:
    """The append conflicted; new records were read and it can be retried."""


AppendError = AppendConflict | Unavailable


class ClaimLog:
    """Reads and appends the records of one partition; call ``load`` first.

    ``index`` holds the newest record of each key in the last
    ``MAX_SEGMENTS`` segments. Older keys are forgotten.
    """

    def __init__(self, store: KeyValue, partition: int) -> None:
        """Store the key-value service and the number of the partition."""
        self.index = ClaimIndex()
        self.writes = 0
        self.loaded = False
        self._store = store
        self._prefix = f'claims/{partition}'
        self._last = _Segment(0)
        # Retained segments before the last one, oldest first.
        self._older: list[_Segment] = []

    async def load(self) -> Result[None, Unavailable]:
        """Read all retained segments of the partition."""
        first = await self._read_head()
        if first.is_error():
            return Error(first.error)
        self.index = ClaimIndex()
        self._older = []
        self._last = _Segment(first.ok)
        outcome = await self.refresh()
        self.loaded = outcome.is_ok()
        return outcome

    async def refresh(self) -> Result[None, Unavailable]:
        """Read the last known segment again, and the segments after it."""
        while True:
            read = await self._store.get(self._key(self._last.number))
            match read:
                case Result(tag='error', error=unavailable):
                    return Error(unavailable)
                case Result(ok=None):
                    return Ok(None)
                case Result(ok=Versioned() as stored_segment):
                    self._apply(stored_segment)
            if not self._last.sealed:
                return Ok(None)
            self._open_next()

    async def append(
        self,
        records: Sequence[ClaimRecord],
    ) -> Result[None, AppendError]:
        """Append records with one write; ``Ok`` means that they are durable."""
        segment = self._last
        text = _encode_segment([*segment.records, *records], sealed=False)
        sealed = len(text) > SEGMENT_BYTES
        if sealed:
            text = _encode_segment([*segment.records, *records], sealed=True)
        self.writes += 1
        key = self._key(segment.number)
        match await self._store.swap(key, text, segment.version):
            case Result(tag='ok', ok=version):
                self._apply_appended(records, version, sealed=sealed)
            case Result(error=Unavailable() as unavailable):
                return Error(unavailable)
            case _:
                # Another committer wrote, or this write was applied and its
                # reply was lost.
                return await self._reload_after_conflict()
        if sealed:
            await self._advance_head()
        return Ok(None)

    async def _reload_after_conflict(self) -> Result[None, AppendError]:
        outcome = await self.refresh()
        if outcome.is_error():
            self.loaded = False
            return Error(outcome.error)
        return Error(AppendConflict())

    def _apply_appended(
        self,
        records: Sequence[ClaimRecord],
        version: int,
        *,
        sealed: bool,
    ) -> None:
        self._last.version = version
        self._last.records.extend(records)
        self._last.sealed = sealed
        for record in records:
            self.index.add(record)
        if sealed:
            self._open_next()

    def _apply(self, stored_segment: Versioned) -> None:
        body = json.loads(stored_segment.text or '{"sealed":true,"records":[]}')
        records = [_decode_record(row) for row in body['records']]
        for record in records[len(self._last.records) :]:
            self.index.add(record)
        self._last.version = stored_segment.version
        self._last.sealed = body['sealed']
        self._last.records = records

    def _open_next(self) -> None:
        self._older.append(self._last)
        self._last = _Segment(self._last.number + 1)
        while len(self._older) >= MAX_SEGMENTS:
            dropped = self._older.pop(0)
            self._forget(dropped)

    def _forget(self, dropped: _Segment) -> None:
        retained_keys = {
            record.key
            for segment in (*self._older, self._last)
            for record in segment.records
        }
        self.index.forget(
            record.key
            for record in dropped.records
            if record.key not in retained_keys
        )

    async def _advance_head(self) -> None:
        """Advance the stored head beyond dropped segments and clear them."""
        first = self._older[0].number if self._older else self._last.number
        for _ in range(_MAX_HEAD_TRIES):
            read = await self._store.get(f'{self._prefix}/head')
            if read.is_error():
                return
            stored_head = read.ok
            version = stored_head.version if stored_head else 0
            head = int(stored_head.text) if stored_head else 0
            if head >= first:
                return
            written = await self._store.swap(
                f'{self._prefix}/head',
                str(first),
                version,
            )
            if written.is_ok():
                await self._clear_segments(head, first)
                return

    async def _clear_segments(self, head: int, first: int) -> None:
        for number in range(head, first):
            read = await self._store.get(self._key(number))
            if read.is_ok() and read.ok is not None:
                await self._store.swap(self._key(number), '', read.ok.version)

    async def _read_head(self) -> Result[int, Unavailable]:
        read = await self._store.get(f'{self._prefix}/head')
        if read.is_error():
            return Error(read.error)
        return Ok(int(read.ok.text) if read.ok else 0)

    def _key(self, number: int) -> str:
        return f'{self._prefix}/{number}'


def _encode_segment(records: Sequence[ClaimRecord], *, sealed: bool) -> str:
    body: dict[str, Any] = {
        'sealed': sealed,
        'records': [attrs.astuple(record) for record in records],
    }
    return json.dumps(body, separators=(',', ':'))


def _decode_record(row: list[Any]) -> ClaimRecord:
    names = [field.name for field in attrs.fields(ClaimRecord)]
    return cattrs.structure(dict(zip(names, row, strict=True)), ClaimRecord)
