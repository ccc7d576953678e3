"""Connections that are kept open between requests to the same peer."""

import re
from collections.abc import Callable, Hashable
from typing import Final

import attrs

from bramleybeam.relay._call import PeerCall, open_call
from bramleybeam.relay._messages import ReplyHead, find_header

# Longest time that a connection stays idle; one that went silent meanwhile
# costs the request that is sent on it.
_MAX_IDLE_S: Final = 2.0
_MAX_KEPT: Final = 8
# Share of the peer's own idle time-out that is used.
_TIMEOUT_SHARE: Final = 0.5
_TIMEOUT: Final = re.compile(rb'timeout=(\d+)')


@attrs.frozen
class _Kept:
    call: PeerCall
    until: float


class CallPool:
    """Keeps a few idle connections for each peer; ``clock`` gives seconds.

    A peer is named by a key that changes with each of its starts.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with no connections."""
        self._clock = clock
        self._kept: dict[Hashable, list[_Kept]] = {}

    async def take(
        self,
        peer: Hashable,
        address: str,
        timeout: float,
    ) -> PeerCall:
        """Return the connection used last, or a new one; raises ``OSError``."""
        now = self._clock()
        rows = self._kept.get(peer, [])
        while rows:
            row = rows.pop()
            if row.call.may_be_kept and now < row.until:
                return row.call
            row.call.close()
        return await open_call(address, timeout)

    def give_back(self, peer: Hashable, call: PeerCall) -> None:
        """Keep a connection after a whole answer, or close it."""
        rows = self._kept.setdefault(peer, [])
        if not call.may_be_kept or len(rows) >= _MAX_KEPT:
            call.close()
            return
        rows.append(_Kept(call, self._clock() + _idle_time(call.head)))

    def drop_idle(self) -> None:
        """Close what has been idle for too long."""
        now = self._clock()
        for peer, rows in tuple(self._kept.items()):
            for row in rows:
                if now >= row.until:
                    row.call.close()
            fresh = [row for row in rows if now < row.until]
            if fresh:
                self._kept[peer] = fresh
            else:
                self._kept.pop(peer)


def _idle_time(head: ReplyHead | None) -> float:
    shown = find_header(head.headers, b'keep-alive') if head else None
    told = _TIMEOUT.search(shown or b'')
    if told is None:
        return _MAX_IDLE_S
    return min(_MAX_IDLE_S, int(told.group(1)) * _TIMEOUT_SHARE)
