"""Writes the origins of streams to the store while they may be needed there."""

from collections.abc import Callable
from typing import Final

import attrs

from bramleybeam import platform
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._stream_origins import (
    ORIGIN_PREFIX,
    VERSIONS_KEY,
    encode_record,
)


# Time after which a record that was written must have been read here again.
_REPEAT_S: Final = 5.0


@attrs.frozen
class _Written:
    """A record that was written at a time in seconds."""

    content: bytes
    at: float


class OriginKeeper:
    """Keeps the record of this gateway, and as the planner that of versions.

    Nothing is written while all streams of each service must have begun on one
    version, and what was written before is deleted.
    """

    def __init__(
        self,
        directory: Directory,
        store: platform.PlatformStore,
        host: str,
        is_planner: Callable[[], bool],
    ) -> None:
        """Store the tables and the store's client; ``host`` is the own name."""
        self._directory = directory
        self._origins = directory.origins
        self._store = store
        self._is_planner = is_planner
        self._own_key = f'{ORIGIN_PREFIX}hosts/{host}'
        self._origins.own_key = self._own_key
        self._written: dict[str, _Written] = {}

    async def keep(self) -> None:
        """Write and delete records as needed; a failure is repeated later."""
        if not self._directory.has_listing:
            return
        self._origins.drop_expired()
        mixed = self._find_mixed()
        wanted = {self._own_key: self._origins.encode_own(mixed)}
        if self._is_planner():
            wanted.update(self._plan_shared(mixed))
        writes = {
            key: content
            for key, content in wanted.items()
            if content and self._is_missing(key, content)
        }
        deletes = [
            key
            for key, content in wanted.items()
            if not content and self._is_stored(key)
        ]
        if (writes or deletes) and await self._store.write(writes, deletes):
            now = self._directory.now()
            for key, content in writes.items():
                self._written[key] = _Written(content, now)
            for key in deletes:
                self._written.pop(key, None)

    def _find_mixed(self) -> dict[str, set[str]]:
        """Return the versions of the services that have several."""
        replicas = self._directory.replicas.values()
        versions = {
            service: self._origins.list_versions(service, replicas)
            for service in frozenset(replica.service for replica in replicas)
        }
        return {
            service: names
            for service, names in versions.items()
            if len(names) > 1
        }

    def _plan_shared(self, mixed: dict[str, set[str]]) -> dict[str, bytes]:
        """Return the record of versions, and what is left of other hosts.

        The records of the others are deleted when no service needs them.
        """
        if not mixed:
            keys = {*self._origins.store_keys, VERSIONS_KEY} - {self._own_key}
            return dict.fromkeys(keys, b'')
        record = {
            service: {version: [f'{service}/{version}'] for version in versions}
            for service, versions in mixed.items()
        }
        return {VERSIONS_KEY: encode_record(record)}

    def _is_missing(self, key: str, content: bytes) -> bool:
        """Whether the store lacks a record, or has another one.

        A record that was written may be lost when the store comes back from a copy.
        """
        written = self._written.get(key)
        if written is None or written.content != content:
            return True
        age_s = self._directory.now() - written.at
        return age_s >= _REPEAT_S and key not in self._origins.store_keys

    def _is_stored(self, key: str) -> bool:
        return key in self._written or key in self._origins.store_keys
