"""Keeps the directory in step with the store."""

import asyncio
import random
from collections.abc import Callable
from typing import Final

import structlog
from expression import Result

from bramleybeam.gateway._directory import Directory
from bramleybeam.keyvalue import (
    Changes,
    HistoryLost,
    ListingStore,
    Unavailable,
)

# Longest wait of one call, so that a watch that died is found soon.
_WATCH_TIMEOUT_S: Final = 1.0
# Changes that come together are read by one call. The planner reads them
# sooner; it passes on what others need at once.
_BATCH_DELAY_S: Final = 0.3
_PLANNER_BATCH_DELAY_S: Final = 0.03
_RETRY_S: Final = 0.2
_log = structlog.get_logger('follower')

Reply = Result[Changes, HistoryLost | Unavailable]


class StoreFollower:
    """Reads all keys, follows their changes, and reads anew after failures."""

    def __init__(
        self,
        store: ListingStore,
        directory: Directory,
        rng: random.Random,
        is_planner: Callable[[], bool],
    ) -> None:
        """Store what to follow, whom to tell, and who reads changes soon."""
        self._store = store
        self._directory = directory
        self._rng = rng
        self._is_planner = is_planner
        self._lagging_event = asyncio.Event()
        directory.freshness.on_lagging.append(self._lagging_event.set)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            revision = await self._read_all()
            if revision is not None:
                await self._follow(revision)
            await self._wait_before_retry()

    async def _wait_before_retry(self) -> None:
        await asyncio.sleep(_RETRY_S * self._rng.uniform(0.5, 1))

    async def _read_all(self) -> int | None:
        asked_at = self._directory.now()
        match await self._store.list_items(''):
            case Result(tag='ok', ok=listing):
                self._directory.note_store(answers=True)
                self._directory.replace(listing)
                self._directory.freshness.note_sync(listing.revision, asked_at)
                return listing.revision
            case Result(error=error):
                _log.debug('listing_failed', error=str(error))
                self._directory.note_store(answers=False)
        return None

    async def _follow(self, revision: int) -> None:
        """Follow until the history is lost, or a call has failed.

        What was missed may by then be longer than one answer can be on a thin
        link: only the state as it is now is sure to get through.
        """
        while True:
            asked_at = self._directory.now()
            reply = await self._watch_with_repeat(revision)
            match reply:
                case Result(tag='ok', ok=Changes() as changes):
                    revision = max(revision, changes.revision)
                    self._apply_changes(changes, asked_at)
                    await self._wait_for_batch()
                case Result(error=HistoryLost()):
                    _log.info('history_lost', revision=revision)
                    return
                case _:
                    self._directory.note_store(answers=False)
                    return

    def _apply_changes(self, changes: Changes, asked_at: float) -> None:
        self._directory.note_store(answers=True)
        self._directory.apply(changes)
        # Without changes the store has waited all the time.
        waited_s = 0 if changes.events else _WATCH_TIMEOUT_S
        self._directory.freshness.note_sync(
            changes.revision, asked_at + waited_s
        )

    async def _wait_for_batch(self) -> None:
        is_fast = self._is_planner()
        await asyncio.sleep(
            _PLANNER_BATCH_DELAY_S if is_fast else _BATCH_DELAY_S
        )

    async def _watch_with_repeat(self, revision: int) -> Reply:
        """Ask for changes, a second time when others already have some."""
        self._lagging_event.clear()
        first = asyncio.create_task(self._watch(revision))
        repeated = asyncio.create_task(self._watch_when_lagging(revision))
        try:
            return await _first_reply(first, repeated)
        finally:
            first.cancel()
            repeated.cancel()

    async def _watch_when_lagging(self, revision: int) -> Reply:
        await self._lagging_event.wait()
        _log.info('watch_repeated', revision=revision)
        return await self._watch(revision)

    async def _watch(self, revision: int) -> Reply:
        return await self._store.follow('', revision, _WATCH_TIMEOUT_S)


async def _first_reply(
    first: asyncio.Task[Reply],
    repeated: asyncio.Task[Reply],
) -> Reply:
    """Return the answer that comes first; the first call's failure counts."""
    await asyncio.wait({first, repeated}, return_when='FIRST_COMPLETED')
    if repeated.done() and repeated.result().is_ok():
        return repeated.result()
    return await first
