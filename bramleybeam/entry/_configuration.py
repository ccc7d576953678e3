"""Watches the configuration in the key-value service."""

import asyncio
from typing import Final

from expression import Result

from bramleybeam.documents import ConfigurationKeeper
from bramleybeam.keyvalue import KeyValue, Versioned

CONFIGURATION_KEY: Final = 'configuration/current'
# Longest time that the service holds a watch request open.
WATCH_WAIT_S: Final = 2.0
# Delay before the next request after a failed one.
_RETRY_S: Final = 1.0


class ConfigurationWatcher:
    """Passes each revision from the key-value service to the keeper.

    After an outage the key is read again from the start; the keeper accepts
    only revisions newer than the one in force.
    """

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        store: KeyValue,
    ) -> None:
        """Store the source and the recipient of the revisions."""
        self._keeper = keeper
        self._store = store
        self._version = 0

    async def watch(self) -> None:
        """Watch until cancelled; retry during outages of the service."""
        while True:
            reply = await self._store.watch(
                CONFIGURATION_KEY,
                self._version,
                WATCH_WAIT_S,
            )
            match reply:
                case Result(tag='ok', ok=None):
                    continue
                case Result(tag='ok', ok=Versioned() as value):
                    self._version = value.version
                    self._keeper.offer(value.text, 'key-value service')
                case _:
                    self._version = 0
                    await asyncio.sleep(_RETRY_S)
