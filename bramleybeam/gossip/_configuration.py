"""Anti-entropy of the configuration by revision, over all links.

Each heartbeat contains the sender's revision. A process with an older revision
requests the newer one. A revision that one reachable process has therefore
arrives at all of them, also when the key-value service is unavailable.
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
    """Compares revisions with peers and exchanges the newer one."""

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        identity: LinkIdentity,
        list_links: Callable[[], Iterable[Link]],
    ) -> None:
        """Store the configuration, the identity and how to list the links."""
        self._keeper = keeper
        self._identity = identity
        self._list_links = list_links
        keeper.subscribe(self._publish)

    def compare_revisions(self, link: Link) -> None:
        """Request a peer's newer revision, or send it the local newer one."""
        if link.peer.revision > self._keeper.revision:
            link.send(Notice(Topic.CONFIGURATION_REQUEST))
        elif link.peer.revision < self._keeper.revision:
            self._send(link)

    def handle_notice(self, link: Link, notice: Notice) -> None:
        """Handle a peer's notice about the configuration."""
        match notice.topic:
            case Topic.CONFIGURATION_REQUEST:
                self._send(link)
            case Topic.CONFIGURATION:
                self._receive(link, notice)

    def _receive(self, link: Link, notice: Notice) -> None:
        try:
            configuration = decode(notice.body, Configuration)
        except MessageError as error:
            _log.warning('bad_notice', peer=link.peer.process, error=str(error))
            return
        self._keeper.offer(configuration.text, link.peer.process)

    def _send(self, link: Link) -> None:
        if self._keeper.revision:
            configuration = Configuration(
                self._keeper.revision, self._keeper.text
            )
            link.send(Notice(Topic.CONFIGURATION, encode(configuration)))

    def _publish(self, applied: Applied) -> None:
        self._identity.revision = applied.revision
        for link in self._list_links():
            link.send_heartbeat()
            if link.peer.revision < applied.revision:
                self._send(link)
