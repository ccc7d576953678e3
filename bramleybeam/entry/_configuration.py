"""Gets the configuration from the service and from peers, newest first."""

import asyncio
from typing import Final

import structlog
from expression import Result

from bramleybeam.documents import Applied, ConfigurationKeeper
from bramleybeam.entry._connections import Connections
from bramleybeam.keyvalue import KeyValue, Versioned
from bramleybeam.links import Link, LinkIdentity, Notice
from bramleybeam.messages import (
    Configuration,
    MessageError,
    Topic,
    decode,
    encode,
)

CONFIGURATION_KEY: Final = 'configuration/current'
WATCH_WAIT_S: Final = 20.0
_RETRY_S: Final = 1.0
_log = structlog.get_logger('configuration')


class ConfigurationRelay:
    """Keeps this process on the newest revision and passes it to others.

    A revision comes from the service by a watch, or from any peer whose
    heartbeat shows a newer one. Neither can bring back an older one.
    """

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        store: KeyValue,
        connections: Connections,
        identity: LinkIdentity,
    ) -> None:
        """Store where revisions come from and go to."""
        self._keeper = keeper
        self._store = store
        self._connections = connections
        self._identity = identity
        self._version = 0
        keeper.subscribe(self._pass_on)

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

    def compare(self, link: Link) -> None:
        """Ask a peer for a newer revision, or give it ours."""
        if link.peer.revision > self._keeper.revision:
            link.send(Notice(Topic.CONFIGURATION_REQUEST))
        elif link.peer.revision < self._keeper.revision:
            self._send(link)

    def take_notice(self, link: Link, notice: Notice) -> None:
        """Act on a peer's notice about the configuration."""
        match notice.topic:
            case Topic.CONFIGURATION_REQUEST:
                self._send(link)
            case Topic.CONFIGURATION:
                try:
                    offered = decode(notice.body, Configuration)
                except MessageError as error:
                    _log.warning('bad_notice', error=str(error))
                    return
                self._keeper.offer(offered.text, link.peer.process)

    def _send(self, link: Link) -> None:
        offered = Configuration(self._keeper.revision, self._keeper.text)
        link.send(Notice(Topic.CONFIGURATION, encode(offered)))

    def _pass_on(self, applied: Applied) -> None:
        self._identity.revision = applied.revision
        for link in self._connections.links:
            if link.peer.revision < applied.revision:
                self._send(link)
                link.send_heartbeat()
