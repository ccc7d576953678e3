"""Keeps the quarantined suspects in the store, while this is the planner."""

from typing import Final

from bramleybeam import platform
from bramleybeam.gateway._cluster_state import ClusterState

# Time after which an entry that was written must have been read here again.
_REPEAT_S: Final = 5.0


class SuspectKeeper:
    """Writes what is missing in the store, and deletes what was cleared."""

    def __init__(
        self, cluster_state: ClusterState, store: platform.PlatformStore
    ) -> None:
        """Store the tables and the store's client."""
        self._suspects = cluster_state.suspects
        self._directory = cluster_state.directory
        self._store = store
        self._written_at: dict[str, float] = {}

    async def keep(self) -> None:
        """Write and delete entries as needed; a failure is repeated later."""
        if not self._suspects.may_try() or not self._directory.has_listing:
            return
        stored = self._directory.stored_suspects
        now = self._directory.now()
        writes = {
            key: content
            for key, content in stored.find_missing(
                self._suspects.report_quarantined()
            ).items()
            if now - self._written_at.get(key, float('-inf')) >= _REPEAT_S
        }
        deletes = stored.find_outdated(self._suspects.is_suspect)
        if not writes and not deletes:
            return
        if await self._store.write(writes, deletes):
            self._written_at = {key: now for key in writes}
