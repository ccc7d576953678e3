"""Keeps the directory in step with the store."""

import asyncio
import random
from typing import Final

import structlog
from expression import Result

from bramleybeam.gateway._directory import Directory
from bramleybeam.keyvalue import Changes, HistoryLost, ListingStore

# Longest wait of one call, so that a watch that died is found soon.
_WATCH_S: Final = 1.0
# Changes that come together are read by one call.
_GATHER_S: Final = 0.03
_RETRY_S: Final = 0.2
_log = structlog.get_logger('follower')


class StoreFollower:
    """Reads all keys once, then follows their changes for ever."""

    def __init__(
        self,
        store: ListingStore,
        directory: Directory,
        rng: random.Random,
    ) -> None:
        """Store what to follow and whom to tell."""
        self._store = store
        self._directory = directory
        self._rng = rng

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            revision = await self._read_all()
            if revision is not None:
                await self._follow(revision)
            await asyncio.sleep(_RETRY_S * self._rng.uniform(0.5, 1))

    async def _read_all(self) -> int | None:
        asked_at = self._directory.now()
        match await self._store.list_items(''):
            case Result(tag='ok', ok=listing):
                self._directory.note_store(answers=True)
                self._directory.replace(listing)
                self._directory.freshness.note_word(listing.revision, asked_at)
                return listing.revision
            case Result(error=error):
                _log.debug('listing_failed', error=str(error))
                self._directory.note_store(answers=False)
        return None

    async def _follow(self, revision: int) -> None:
        """Follow until the history is lost."""
        while True:
            asked_at = self._directory.now()
            reply = await self._store.follow('', revision, _WATCH_S)
            match reply:
                case Result(tag='ok', ok=Changes() as changes):
                    self._directory.note_store(answers=True)
                    self._directory.apply(changes)
                    # Without changes the store has waited all the time.
                    waited = 0 if changes.events else _WATCH_S
                    self._directory.freshness.note_word(
                        changes.revision, asked_at + waited
                    )
                    revision = max(revision, changes.revision)
                    await asyncio.sleep(_GATHER_S)
                case Result(error=HistoryLost()):
                    _log.info('history_lost', revision=revision)
                    return
                case _:
                    self._directory.note_store(answers=False)
                    pause = _RETRY_S * self._rng.uniform(0.5, 1)
                    await asyncio.sleep(pause)
