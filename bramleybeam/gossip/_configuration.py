"""Anti-entropy of the configuration by revision, over any connection.

Each heartbeat carries the sender's revision. Whoever has the older one asks
for the newer, so a revision that any live process has reaches all of them,
with or without the key-value service.
"""

from collections.abc import Callable, Iterable

import structlog

from bramleybeam.documents import Applied, ConfigurationKeeper
from bramleybeam.links import Link, LinkIdentity, Notice
from bramleybeam.messages import (
    Configuration,
    MessageError,
    Topic,
    decode,
    encode,
)

_log = structlog.get_logger('gossip')


class ConfigurationGossip:
    """Compares revisions with peers and passes the newer one on."""

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        identity: LinkIdentity,
        links: Callable[[], Iterable[Link]],
    ) -> None:
        """Store the configuration and where the connections are listed."""
        self._keeper = keeper
        self._identity = identity
        self._links = links
        keeper.subscribe(self._pass_on)

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
                self._take(link, notice)

    def _take(self, link: Link, notice: Notice) -> None:
        try:
            offered = decode(notice.body, Configuration)
        except MessageError as error:
            _log.warning('bad_notice', peer=link.peer.process, error=str(error))
            return
        self._keeper.offer(offered.text, link.peer.process)

    def _send(self, link: Link) -> None:
        if self._keeper.revision:
            offered = Configuration(self._keeper.revision, self._keeper.text)
            link.send(Notice(Topic.CONFIGURATION, encode(offered)))

    def _pass_on(self, applied: Applied) -> None:
        self._identity.revision = applied.revision
        for link in self._links():
            link.send_heartbeat()
            if link.peer.revision < applied.revision:
                self._send(link)
