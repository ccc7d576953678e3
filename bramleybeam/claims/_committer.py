"""Commits the claims of one partition, all pending ones in one write."""

import asyncio
import time
from typing import Final

import attrs
import structlog
from expression import Result

from bramleybeam.claims._log import AppendConflict, ClaimLog
from bramleybeam.decisions import ClaimIndex, ClaimRecord, Verdict
from bramleybeam.keyvalue import KeyValue
from bramleybeam.messages import ClaimCall, ClaimReply
from bramleybeam.timers import TaskSet

# Shortest time between two writes of a partition to the key-value service.
MIN_WRITE_INTERVAL_S: Final = 0.05
# Maximum number of claims in one write; the rest is left for the next write.
_MAX_BATCH: Final = 400
_MAX_TRIES: Final = 6
_log = structlog.get_logger('claims')


@attrs.define(eq=False)
class _PendingCall:
    call: ClaimCall
    reply: asyncio.Future[ClaimReply]


class ClaimCommitter:
    """Evaluates calls in the order of arrival and writes their records.

    Calls that arrive during a write are committed together by the next one, so
    a partition makes at most one write per ``MIN_WRITE_INTERVAL_S``, whatever
    the number of claims.
    """

    def __init__(self, store: KeyValue, partition: int) -> None:
        """Store the key-value service and the number of the partition."""
        self.committed = 0
        self._log = ClaimLog(store, partition)
        self._pending: list[_PendingCall] = []
        self._tasks = TaskSet()
        self._running = False
        self._last_write_at = 0.0

    @property
    def writes(self) -> int:
        """Number of writes to the key-value service."""
        return self._log.writes

    @property
    def keys(self) -> int:
        """Number of keys that have a record in the index."""
        return len(self._log.index)

    async def submit(self, call: ClaimCall) -> ClaimReply:
        """Evaluate a call; return the reply after its record is durable."""
        reply_future = asyncio.get_running_loop().create_future()
        self._pending.append(_PendingCall(call, reply_future))
        if not self._running:
            self._running = True
            self._tasks.spawn(self._run())
        return await asyncio.shield(reply_future)

    async def close(self) -> None:
        """Stop; pending calls receive no reply."""
        await self._tasks.close()

    async def _run(self) -> None:
        try:
            while self._pending:
                await self._wait_for_write_interval()
                batch = self._pending[:_MAX_BATCH]
                self._pending = self._pending[_MAX_BATCH:]
                await self._commit(batch)
        finally:
            self._running = False

    async def _wait_for_write_interval(self) -> None:
        elapsed_s = time.monotonic() - self._last_write_at
        if elapsed_s < MIN_WRITE_INTERVAL_S:
            await asyncio.sleep(MIN_WRITE_INTERVAL_S - elapsed_s)

    async def _commit(self, batch: list[_PendingCall]) -> None:
        for _ in range(_MAX_TRIES):
            if not await self._ensure_loaded():
                break
            replies, records = self._evaluate(batch)
            if not records:
                _resolve(batch, replies)
                return
            self._last_write_at = time.monotonic()
            match await self._log.append(records):
                case Result(tag='ok'):
                    self.committed += len(records)
                    _resolve(batch, replies)
                    return
                case Result(error=AppendConflict()):
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

    def _evaluate(
        self,
        batch: list[_PendingCall],
    ) -> tuple[list[ClaimReply], list[ClaimRecord]]:
        batch_index = ClaimIndex()
        replies = []
        records = []
        for pending in batch:
            current_index = (
                batch_index
                if batch_index.has_record(pending.call.key)
                else self._log.index
            )
            judgement = current_index.decide(pending.call)
            replies.append(judgement.reply)
            if judgement.record is not None:
                records.append(judgement.record)
                batch_index.add(judgement.record)
        return replies, records


def _resolve(batch: list[_PendingCall], replies: list[ClaimReply]) -> None:
    for pending, reply in zip(batch, replies, strict=True):
        if not pending.reply.done():
            pending.reply.set_result(reply)
