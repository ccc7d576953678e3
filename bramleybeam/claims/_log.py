"""The records of one partition, as a chain of segments in the service.

A segment is one key. Records are appended by compare-and-swap on the last
segment; the write that fills a segment also seals it, and the next record
opens the following one. Whoever appends must therefore have read every
segment before, and of two committers that append at once one fails and reads
what the other wrote. No lease is needed for that.
"""

import json
from collections.abc import Sequence
from typing import Any, Final

import attrs
import cattrs
from expression import Error, Ok, Result

from bramleybeam.decisions import ClaimIndex, ClaimRecord
from bramleybeam.keyvalue import KeyValue, Unavailable, Versioned

SEGMENT_BYTES: Final = 100_000
KEPT_SEGMENTS: Final = 20
_HEAD_TRIES: Final = 3


@attrs.define
class _Segment:
    number: int
    version: int = 0
    sealed: bool = False
    records: list[ClaimRecord] = attrs.field(factory=list)


@attrs.frozen
class Retry:
    """The append may be tried again after reading what is new."""


AppendError = Retry | Unavailable


class ClaimLog:
    """Reads and appends to one partition; call ``load`` first.

    ``index`` holds the newest record of each key in the last
    ``KEPT_SEGMENTS`` segments: that is how long a key is remembered.
    """

    def __init__(self, store: KeyValue, partition: int) -> None:
        """Store where the partition is kept."""
        self.index = ClaimIndex()
        self.writes = 0
        self.loaded = False
        self._store = store
        self._prefix = f'claims/{partition}'
        self._last = _Segment(0)
        self._older: list[_Segment] = []

    async def load(self) -> Result[None, Unavailable]:
        """Read the partition from its first kept segment to its last."""
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
        """Read the last segment again, and those that follow it."""
        while True:
            read = await self._store.get(self._key(self._last.number))
            match read:
                case Result(tag='error', error=unavailable):
                    return Error(unavailable)
                case Result(ok=None):
                    return Ok(None)
                case Result(ok=Versioned() as found):
                    self._take(found)
            if not self._last.sealed:
                return Ok(None)
            self._open_next()

    async def append(
        self,
        records: Sequence[ClaimRecord],
    ) -> Result[None, AppendError]:
        """Make records durable with one write."""
        segment = self._last
        text = _encode_segment([*segment.records, *records], sealed=False)
        sealed = len(text) > SEGMENT_BYTES
        if sealed:
            text = _encode_segment([*segment.records, *records], sealed=True)
        self.writes += 1
        key = self._key(segment.number)
        match await self._store.swap(key, text, segment.version):
            case Result(tag='ok', ok=version):
                self._accept(records, version, sealed=sealed)
            case Result(error=Unavailable() as unavailable):
                return Error(unavailable)
            case _:
                # Another committer wrote, or the reply to this write was lost.
                return await self._reread()
        if sealed:
            await self._advance_head()
        return Ok(None)

    async def _reread(self) -> Result[None, AppendError]:
        outcome = await self.refresh()
        if outcome.is_error():
            self.loaded = False
            return Error(outcome.error)
        return Error(Retry())

    def _accept(
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

    def _take(self, found: Versioned) -> None:
        body = json.loads(found.text or '{"sealed":true,"records":[]}')
        records = [_decode_record(raw) for raw in body['records']]
        for record in records[len(self._last.records) :]:
            self.index.add(record)
        self._last.version = found.version
        self._last.sealed = body['sealed']
        self._last.records = records

    def _open_next(self) -> None:
        self._older.append(self._last)
        self._last = _Segment(self._last.number + 1)
        while len(self._older) >= KEPT_SEGMENTS:
            dropped = self._older.pop(0)
            self._forget(dropped)

    def _forget(self, dropped: _Segment) -> None:
        kept = {
            record.key
            for segment in (*self._older, self._last)
            for record in segment.records
        }
        self.index.forget(
            record.key for record in dropped.records if record.key not in kept
        )

    async def _advance_head(self) -> None:
        """Move the head past dropped segments and empty them."""
        first = self._older[0].number if self._older else self._last.number
        for _ in range(_HEAD_TRIES):
            read = await self._store.get(f'{self._prefix}/head')
            if read.is_error():
                return
            known = read.ok
            version = known.version if known else 0
            begun = int(known.text) if known else 0
            if begun >= first:
                return
            written = await self._store.swap(
                f'{self._prefix}/head',
                str(first),
                version,
            )
            if written.is_ok():
                await self._empty(begun, first)
                return

    async def _empty(self, begun: int, first: int) -> None:
        for number in range(begun, first):
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


def _decode_record(raw: list[Any]) -> ClaimRecord:
    names = [field.name for field in attrs.fields(ClaimRecord)]
    return cattrs.structure(dict(zip(names, raw, strict=True)), ClaimRecord)
