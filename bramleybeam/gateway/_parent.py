"""Which gateway this one reports to, and which ones it passes over.

A parent that falls silent is passed over until it answers a probe, so that
nothing is lost by reporting to it on trial.
"""

from typing import Final

import structlog

from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._tree import Peer, choose_parent

# A parent is silent after this long; it speaks several times in that time.
_RESPONSE_TIMEOUT_S: Final = 1.4
# How often a gateway that is passed over is asked whether it lives.
_PROBE_INTERVAL_S: Final = 1.0
_log = structlog.get_logger('parent')


class ParentSelector:
    """The parent of one gateway, by what it hears of it."""

    def __init__(self, local_peer: Peer, directory: Directory) -> None:
        """Start without a parent."""
        self.local_peer = local_peer
        self._directory = directory
        self._address = ''
        self._contact_deadline = 0.0
        self._refreshed_at = 0.0
        self._probe_at: dict[str, float] = {}

    @property
    def address(self) -> str:
        """Where the parent takes datagrams; empty for the root."""
        return self._address

    def note_contact(self, now: float) -> None:
        """Note a message of the parent, whatever it tells."""
        self._contact_deadline = now + _RESPONSE_TIMEOUT_S

    def note_probe_answer(self, address: str) -> None:
        """Note that a gateway has answered a probe: it may be a parent."""
        if self._probe_at.pop(address, None) is not None:
            _log.info('parent_answers', address=address)

    def take_probes(self, now: float) -> list[str]:
        """Return the addresses that are to be asked now, if they still count."""
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
        """Choose anew; return the parent that was left, if it changed."""
        if self._address and now > self._contact_deadline:
            self._handle_timeout(now)
        self._refreshed_at = now
        previous = self._address
        parent = self._choose()
        self._address = parent.address if parent else ''
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
        """Pass the parent over, unless this process itself stood still."""
        if now - self._refreshed_at > _RESPONSE_TIMEOUT_S:
            self._contact_deadline = now + _RESPONSE_TIMEOUT_S
        else:
            self._probe_at[self._address] = now + _PROBE_INTERVAL_S
            _log.info('parent_silent', address=self._address)
