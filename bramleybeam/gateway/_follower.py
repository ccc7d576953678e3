"""Updates the directory from the store."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from typing import Final

import attrs
import structlog
from expression import Error, Result

from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._follower_pace import CALL_MARGIN_S
from bramleybeam.keyvalue import (
    Changes,
    HistoryLost,
    ListingStore,
    Unavailable,
)
from bramleybeam.timers import running_timeout
from bramleybeam.workspaces import KeyRead

# Longest wait in seconds after a failure.
_RETRY_S: Final = 0.2
# Shortest time in seconds between two calls that requests have asked for.
_MIN_INTERVAL_S: Final = 0.1
# Time in seconds after which the wait between two calls is determined again.
_RECHECK_S: Final = 0.25
_log = structlog.get_logger('follower')

Reply = Result[Changes, HistoryLost | Unavailable]


@attrs.frozen
class _WatchCall:
    """A watch that has ended: when it was sent, its wait, and the reply.

    Times are in seconds.
    """

    asked_at: float
    wait_s: float
    reply: Reply


class StoreFollower:
    """Reads all keys, follows their changes, and rereads after a failure."""

    def __init__(
        self,
        store: ListingStore,
        directory: Directory,
        rng: random.Random,
        batch_delay: Callable[[], float],
    ) -> None:
        """Store the store and the directory that it updates.

        ``batch_delay`` returns the wait in seconds between two calls. It may
        change during the wait.
        """
        self._store = store
        self._directory = directory
        self._rng = rng
        self._batch_delay = batch_delay
        self._lagging_event = asyncio.Event()
        directory.freshness.on_lagging.append(self._lagging_event.set)
        self._resumed_event = asyncio.Event()
        directory.freshness.on_resumed.append(self._resumed_event.set)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            self._resumed_event.clear()
            revision = await self._read_all()
            if revision is not None:
                await self._follow_until_resumed(revision)
            await self._wait_before_retry()

    async def _follow_until_resumed(self, revision: int) -> None:
        """Follow changes until a failure, or until a stall of this process.

        A call that was sent before a stall says nothing about the time since.
        """
        following = asyncio.create_task(self._follow(revision))
        resumed = asyncio.create_task(self._resumed_event.wait())
        try:
            await asyncio.wait(
                {following, resumed}, return_when='FIRST_COMPLETED'
            )
            if following.done():
                following.result()
        finally:
            following.cancel()
            resumed.cancel()

    async def _wait_before_retry(self) -> None:
        if not self._resumed_event.is_set():
            await asyncio.sleep(_RETRY_S * self._rng.uniform(0.5, 1))

    async def _read_all(self) -> int | None:
        """Read all keys; return the revision, or ``None`` after a failure."""
        asked_at = self._directory.freshness.now()
        read = self._begin_read()
        match await self._store.list_items(''):
            case Result(tag='ok', ok=listing):
                self._directory.note_store(answers=True)
                self._directory.replace(listing)
                self._directory.keys.note_read(read, listing.revision)
                self._directory.freshness.note_sync(listing.revision, asked_at)
                return listing.revision
            case Result(error=error):
                _log.debug('listing_failed', error=str(error))
                self._note_failure(asked_at)
        return None

    async def _follow(self, revision: int) -> None:
        """Follow changes until the history is lost or a call fails.

        After that all keys are read again. The missed changes may be too many
        for one answer over a slow link; only the current state is sure to fit.
        """
        while True:
            read = self._begin_read()
            # What is asked for without delay does not wait for changes.
            is_urgent = self._lagging_event.is_set()
            wait_s = 0.0 if is_urgent else self._watch_timeout_s()
            call = await self._watch_with_repeat(revision, wait_s)
            match call.reply:
                case Result(tag='ok', ok=Changes() as changes):
                    revision = max(revision, changes.revision)
                    self._apply_changes(changes, call)
                    self._directory.keys.note_read(read, changes.revision)
                    await self._wait_for_batch(call.asked_at)
                case Result(error=HistoryLost()):
                    _log.info('history_lost', revision=revision)
                    return
                case _:
                    self._note_failure(call.asked_at)
                    return

    def _note_failure(self, asked_at: float) -> None:
        self._directory.note_store(answers=False)
        self._directory.freshness.note_failure(asked_at)

    def _begin_read(self) -> KeyRead:
        """Return the record of a call that is about to be sent.

        It also covers a repeated call, which is sent later.
        """
        freshness = self._directory.freshness
        return self._directory.keys.begin_read(
            freshness.newest_version, freshness.revision
        )

    def _watch_timeout_s(self) -> float:
        pace = self._directory.freshness.pace
        return pace.watch_timeout_s(self._batch_delay())

    def _apply_changes(self, changes: Changes, call: _WatchCall) -> None:
        self._directory.note_store(answers=True)
        self._directory.apply(changes)
        freshness = self._directory.freshness
        # Without changes the store has answered at the end of the wait, unless it
        # has cut the wait short.
        waited_until = call.asked_at + call.wait_s
        has_waited = not changes.events and freshness.now() >= waited_until
        freshness.note_sync(
            changes.revision, waited_until if has_waited else call.asked_at
        )

    async def _wait_for_batch(self, asked_at: float) -> None:
        """Wait until the next changes are due or needed.

        ``asked_at`` is when the last call was sent.
        """
        self._lagging_event.clear()
        waited_s = 0.0
        while not self._lagging_event.is_set():
            left_s = self._batch_delay() - waited_s
            if left_s <= 0:
                return
            step_s = min(left_s, _RECHECK_S)
            await self._wait_until_lagging(step_s)
            waited_s += step_s
        _log.info(
            'batch_cut_short', revision=self._directory.freshness.revision
        )
        interval_s = min(_MIN_INTERVAL_S, self._batch_delay())
        await asyncio.sleep(
            asked_at + interval_s - self._directory.freshness.now()
        )

    async def _wait_until_lagging(self, timeout_s: float) -> None:
        """Wait until this gateway is known to lag behind, or a timeout."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._lagging_event.wait()

    async def _watch_with_repeat(
        self, revision: int, wait_s: float
    ) -> _WatchCall:
        """Watch for changes, and read them at once if that is asked for.

        A peer that reports a newer revision shows that the first call may have
        lost its connection.
        """
        self._lagging_event.clear()
        first = asyncio.create_task(self._watch(revision, wait_s))
        delay_s = 0 if wait_s else _MIN_INTERVAL_S
        urgent = asyncio.create_task(self._read_when_lagging(revision, delay_s))
        try:
            await asyncio.wait({first, urgent}, return_when='FIRST_COMPLETED')
            return (urgent if urgent.done() else first).result()
        finally:
            first.cancel()
            urgent.cancel()

    async def _read_when_lagging(
        self, revision: int, delay_s: float
    ) -> _WatchCall:
        """Read the changes whenever that is asked for, until the store answers.

        ``delay_s`` is left to a call that has been sent just now.
        """
        await asyncio.sleep(delay_s)
        while True:
            await self._lagging_event.wait()
            self._lagging_event.clear()
            _log.info('watch_repeated', revision=revision)
            call = await self._read_changes(revision)
            if _is_answered(call.reply):
                return call
            self._directory.freshness.note_failure(call.asked_at)
            await asyncio.sleep(_MIN_INTERVAL_S)

    async def _read_changes(self, revision: int) -> _WatchCall:
        """Read the changes now; give a call up that a sound store would answer."""
        asked_at = self._directory.freshness.now()
        try:
            async with running_timeout(CALL_MARGIN_S):
                reply = await self._store.follow('', revision, 0)
        except TimeoutError:
            reply = Error(Unavailable('no answer to an urgent call'))
        return _WatchCall(asked_at, 0, reply)

    async def _watch(self, revision: int, wait_s: float) -> _WatchCall:
        """Watch for changes; note early that the call is not answered."""
        asked_at = self._directory.freshness.now()
        reply = asyncio.create_task(self._store.follow('', revision, wait_s))
        try:
            async with running_timeout(wait_s + CALL_MARGIN_S):
                await asyncio.wait({reply})
        except TimeoutError:
            self._directory.freshness.note_failure(asked_at)
            await asyncio.wait({reply})
        finally:
            reply.cancel()
        return _WatchCall(asked_at, wait_s, reply.result())


def _is_answered(reply: Reply) -> bool:
    """Whether the store has answered, if only that the history is lost."""
    return reply.is_ok() or isinstance(reply.error, HistoryLost)
