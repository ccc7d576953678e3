"""Selects the gateway to which this one reports.

A parent that stops responding is skipped until it answers a probe, so that no
report is lost by sending it to a parent that may still be unresponsive.
"""

from typing import Final

import structlog

from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._tree import Peer, choose_parent, is_deputy

# Time in seconds without a message after which a parent is unresponsive; a
# parent that responds sends several messages in that time.
_RESPONSE_TIMEOUT_S: Final = 1.4
# Time in seconds between two probes of a gateway that is skipped.
_PROBE_INTERVAL_S: Final = 1.0
_log = structlog.get_logger('parent')


class ParentSelector:
    """The parent of a gateway, by the messages received from it.

    Arguments ``now`` are in seconds.
    """

    def __init__(self, local_peer: Peer, directory: Directory) -> None:
        """Start without a parent."""
        self.local_peer = local_peer
        self._directory = directory
        self._address = ''
        self._host = ''
        self._contact_deadline = 0.0
        self._refreshed_at = 0.0
        # The time of the next probe, by address of a gateway that is skipped.
        self._probe_at: dict[str, float] = {}

    @property
    def address(self) -> str:
        """The parent's ``IP:PORT`` for datagrams; empty for the root."""
        return self._address

    @property
    def host(self) -> str:
        """The name of the parent's host; empty for the root."""
        return self._host

    @property
    def is_deputy(self) -> bool:
        """Whether this gateway is one of the first to succeed the planner."""
        peers = tuple(self._directory.peers.values())
        root = self._directory.newest_planner.host
        return is_deputy(self.local_peer, peers, root)

    def is_responding(self, now: float) -> bool:
        """Whether there is a parent that has sent a message recently."""
        return bool(self._address) and now < self._contact_deadline

    def note_contact(self, now: float) -> None:
        """Record that a message of the parent, of any kind, was received."""
        self._contact_deadline = now + _RESPONSE_TIMEOUT_S

    def note_probe_answer(self, address: str) -> None:
        """Record that a gateway answered a probe; it may be parent again."""
        if self._probe_at.pop(address, None) is not None:
            _log.info('parent_answers', address=address)

    def take_probes(self, now: float) -> list[str]:
        """Return the addresses to probe now, and set their next probe.

        Gateways that the store no longer lists are dropped.
        """
        listed = {peer.address for peer in self._directory.peers.values()}
        for address in self._probe_at.keys() - listed:
            self._probe_at.pop(address)
        due = [
            address
            for address, probe_at in self._probe_at.items()
            if now >= probe_at
        ]
        self._probe_at.update(dict.fromkeys(due, now + _PROBE_INTERVAL_S))
        return due

    def refresh(self, now: float) -> str:
        """Select the parent again.

        Returns the address of the previous parent if it changed, else an empty
        string.
        """
        if self._address and now > self._contact_deadline:
            self._handle_timeout(now)
        self._refreshed_at = now
        previous = self._address
        parent = self._choose()
        self._address = parent.address if parent else ''
        self._host = parent.host if parent else ''
        if self._address == previous:
            return ''
        self._contact_deadline = now + _RESPONSE_TIMEOUT_S
        _log.info('parent_chosen', parent=parent.host if parent else '')
        return previous

    def _choose(self) -> Peer | None:
        peers = tuple(self._directory.peers.values())
        root = self._directory.newest_planner.host
        return choose_parent(self.local_peer, peers, root, self._probe_at)

    def _handle_timeout(self, now: float) -> None:
        """Skip the parent, unless this process itself was suspended.

        After a pause of this process the parent gets another full timeout.
        """
        if now - self._refreshed_at > _RESPONSE_TIMEOUT_S:
            self._contact_deadline = now + _RESPONSE_TIMEOUT_S
        else:
            self._probe_at[self._address] = now + _PROBE_INTERVAL_S
            _log.info('parent_silent', address=self._address)
