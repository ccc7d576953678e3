"""Lets requests wait for what the store holds now."""

from typing import Final

import attrs

from bramleybeam.gateway._freshness import StoreFreshness, SyncState
from bramleybeam.timers import running_timeout

# Longest wait in seconds, in which a sound store answers several calls.
_MAX_WAIT_S: Final = 1.0


@attrs.frozen
class SyncWaiter:
    """Asks for a read of the store where requests need one, and waits for it.

    Requests that wait at the same time share a read.
    """

    freshness: StoreFreshness

    async def wait_while_overdue(self) -> None:
        """Wait until requests may be decided by the configuration in force here.

        That is after a sync, or once the store is known to be away, as it is if no
        call is answered in the longest wait. Returns without either if the answers
        are old by the time they are read, and at once if there was none ever.
        """
        freshness = self.freshness
        freshness.note_activity()
        is_overdue = freshness.sync_state == SyncState.OVERDUE
        if freshness.age_s is None or not is_overdue:
            return
        began_at = freshness.now()
        try:
            async with running_timeout(_MAX_WAIT_S):
                while freshness.sync_state == SyncState.OVERDUE:
                    await self.wait_for_call()
        except TimeoutError:
            freshness.note_silence(began_at)

    async def wait_for_call(self) -> None:
        """Ask for a read, and wait for the end of a call to the store."""
        self.freshness.request_read()
        await self.freshness.changed.wait()
