"""Follows the configuration in the key-value service."""

import asyncio
from typing import Final

from expression import Result

from bramleybeam.documents import ConfigurationKeeper
from bramleybeam.keyvalue import KeyValue, Versioned

CONFIGURATION_KEY: Final = 'configuration/current'
WATCH_WAIT_S: Final = 2.0
_RETRY_S: Final = 1.0


class ConfigurationWatch:
    """Offers each revision that the service shows to the keeper.

    After an outage the key is read afresh; the keeper takes only what is
    newer than the revision in force.
    """

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        store: KeyValue,
    ) -> None:
        """Store where revisions come from and who keeps them."""
        self._keeper = keeper
        self._store = store
        self._version = 0

    async def watch(self) -> None:
        """Follow the service for ever; outages are waited out."""
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
