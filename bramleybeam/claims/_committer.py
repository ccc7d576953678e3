"""Commits the claims of one partition, as many as wait in one write."""

import asyncio
import time
from typing import Final

import attrs
import structlog
from expression import Result

from bramleybeam.claims._log import ClaimLog, Retry
from bramleybeam.decisions import ClaimIndex, ClaimRecord, Verdict
from bramleybeam.keyvalue import KeyValue
from bramleybeam.messages import ClaimCall, ClaimReply
from bramleybeam.timers import TaskSet

WRITE_SPACING_S: Final = 0.05
_MAX_BATCH: Final = 400
_TRIES: Final = 6
_log = structlog.get_logger('claims')


@attrs.define(eq=False)
class _Pending:
    call: ClaimCall
    reply: asyncio.Future[ClaimReply]


class ClaimCommitter:
    """Judges calls in the order they come and writes what they need.

    While one write is on its way the calls that come wait for the next, so a
    partition makes at most one write each ``WRITE_SPACING_S``, however many
    claims there are.
    """

    def __init__(self, store: KeyValue, partition: int) -> None:
        """Store where the partition is kept."""
        self.committed = 0
        self._log = ClaimLog(store, partition)
        self._pending: list[_Pending] = []
        self._tasks = TaskSet()
        self._running = False
        self._last_write = 0.0

    @property
    def writes(self) -> int:
        """Writes made to the service."""
        return self._log.writes

    @property
    def keys(self) -> int:
        """Keys that are remembered."""
        return len(self._log.index)

    async def submit(self, call: ClaimCall) -> ClaimReply:
        """Judge a call, making its record durable before the reply."""
        waiter = asyncio.get_running_loop().create_future()
        self._pending.append(_Pending(call, waiter))
        if not self._running:
            self._running = True
            self._tasks.spawn(self._run())
        return await asyncio.shield(waiter)

    async def close(self) -> None:
        """Stop; calls that wait are not answered."""
        await self._tasks.close()

    async def _run(self) -> None:
        try:
            while self._pending:
                await self._wait_spacing()
                batch = self._pending[:_MAX_BATCH]
                self._pending = self._pending[_MAX_BATCH:]
                await self._commit(batch)
        finally:
            self._running = False

    async def _wait_spacing(self) -> None:
        elapsed = time.monotonic() - self._last_write
        if elapsed < WRITE_SPACING_S:
            await asyncio.sleep(WRITE_SPACING_S - elapsed)

    async def _commit(self, batch: list[_Pending]) -> None:
        for _ in range(_TRIES):
            if not await self._ensure_loaded():
                break
            replies, records = self._judge(batch)
            if not records:
                _resolve(batch, replies)
                return
            self._last_write = time.monotonic()
            match await self._log.append(records):
                case Result(tag='ok'):
                    self.committed += len(records)
                    _resolve(batch, replies)
                    return
                case Result(error=Retry()):
                    continue
                case _:
                    break
        _log.warning('claims_unavailable', waiting=len(batch))
        _resolve(batch, [ClaimReply(Verdict.UNAVAILABLE) for _ in batch])

    async def _ensure_loaded(self) -> bool:
        if self._log.loaded:
            return True
        outcome = await self._log.load()
        return outcome.is_ok()

    def _judge(
        self,
        batch: list[_Pending],
    ) -> tuple[list[ClaimReply], list[ClaimRecord]]:
        fresh = ClaimIndex()
        replies = []
        records = []
        for pending in batch:
            known = (
                fresh if fresh.has_record(pending.call.key) else self._log.index
            )
            judgement = known.decide(pending.call)
            replies.append(judgement.reply)
            if judgement.record is not None:
                records.append(judgement.record)
                fresh.add(judgement.record)
        return replies, records


def _resolve(batch: list[_Pending], replies: list[ClaimReply]) -> None:
    for pending, reply in zip(batch, replies, strict=True):
        if not pending.reply.done():
            pending.reply.set_result(reply)
