"""Which gateway this one reports to, and which ones it passes over."""

from typing import Final

import attrs
import structlog

from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._tree import Peer, choose_parent

# A parent is silent after this long, or this many of its own periods.
_SILENCE_S: Final = 1.0
_SILENT_PERIODS: Final = 3
# How long a silent gateway is passed over, longer each time.
_FIRST_AVOIDANCE_S: Final = 20.0
_LONGEST_AVOIDANCE_S: Final = 60.0
_log = structlog.get_logger('parent')


@attrs.define
class _Avoidance:
    until: float
    period: float


class ParentChoice:
    """The parent of one gateway, by what it hears of it."""

    def __init__(self, own: Peer, directory: Directory) -> None:
        """Start without a parent."""
        self.own = own
        self._directory = directory
        self._address = ''
        self._limit = 0.0
        self._refreshed_at = 0.0
        self._avoided: dict[str, _Avoidance] = {}

    @property
    def address(self) -> str:
        """Where the parent takes datagrams; empty for the root."""
        return self._address

    def note_heard(self, period_s: float, now: float) -> None:
        """Note a message of the parent, and how often it sends them."""
        self._avoided.pop(self._address, None)
        self._limit = now + max(_SILENCE_S, _SILENT_PERIODS * period_s)

    def refresh(self, now: float) -> str:
        """Choose anew; return the parent that was left, if it changed."""
        if self._address and now > self._limit:
            self._note_silence(now)
        self._refreshed_at = now
        left = self._address
        parent = self._choose(now)
        self._address = parent.address if parent else ''
        if self._address == left:
            return ''
        self._limit = now + _SILENCE_S
        _log.info('parent_chosen', parent=parent.host if parent else '')
        return left

    def _choose(self, now: float) -> Peer | None:
        peers = tuple(self._directory.peers.values())
        silent = [
            address
            for address, avoidance in self._avoided.items()
            if now < avoidance.until
        ]
        root = self._directory.newest_planner.host
        return choose_parent(self.own, peers, root, silent)

    def _note_silence(self, now: float) -> None:
        """Pass the parent over, unless this process itself stood still."""
        if now - self._refreshed_at > _SILENCE_S:
            self._limit = now + _SILENCE_S
        else:
            self._avoid(self._address, now)

    def _avoid(self, address: str, now: float) -> None:
        known = self._avoided.get(address)
        period = _FIRST_AVOIDANCE_S
        if known is not None:
            period = min(_LONGEST_AVOIDANCE_S, known.period * 2)
        self._avoided[address] = _Avoidance(now + period, period)
        _log.info('parent_silent', address=address, seconds=period)
