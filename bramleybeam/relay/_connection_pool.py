"""A pool of idle connections to peers."""

import re
from collections.abc import Callable, Hashable
from typing import Final

import attrs

from bramleybeam.relay._peer_connection import PeerConnection, connect_peer
from bramleybeam.relay._messages import ReplyHead, find_header

# Longest time that a connection stays idle: to a peer that advertises an idle
# time-out, and to another one. The peer may close the connection just before a
# request is sent on it, which is then lost.
_MAX_ADVERTISED_IDLE_S: Final = 5.0
_MAX_IDLE_S: Final = 2.0
# Share of the idle time-out advertised by the peer that is used.
_TIMEOUT_SHARE: Final = 0.5
_TIMEOUT: Final = re.compile(rb'timeout=(\d+)')


@attrs.frozen
class _IdleConnection:
    """An idle connection and when it expires by the pool's clock."""

    connection: PeerConnection
    expires_at: float


class ConnectionPool:
    """Keeps idle connections for each peer; ``clock`` returns seconds.

    A peer is identified by a key that changes whenever it restarts.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without connections."""
        self._clock = clock
        self._idle: dict[Hashable, list[_IdleConnection]] = {}

    async def acquire(
        self,
        peer: Hashable,
        address: str,
        timeout: float,
        *,
        must_be_new: bool = False,
    ) -> PeerConnection:
        """Return the most recently used connection, or open a new one.

        ``timeout`` bounds the connecting, in seconds. With ``must_be_new`` no
        connection that carried other requests is used. Raises ``OSError``.
        """
        now = self._clock()
        entries = [] if must_be_new else self._idle.get(peer, [])
        while entries:
            entry = entries.pop()
            if entry.connection.is_reusable and now < entry.expires_at:
                return entry.connection
            entry.connection.close()
        return await connect_peer(address, timeout)

    def has_idle(self, peer: Hashable) -> bool:
        """Whether an idle connection to a peer can probably be used."""
        now = self._clock()
        return any(
            entry.connection.is_reusable and now < entry.expires_at
            for entry in self._idle.get(peer, ())
        )

    def release(
        self, peer: Hashable, connection: PeerConnection, max_idle: int
    ) -> None:
        """Return a connection to the pool, or close it.

        It is closed if it is not reusable, or if the pool has ``max_idle``
        connections to the peer already.
        """
        entries = self._idle.setdefault(peer, [])
        if not connection.is_reusable or len(entries) >= max_idle:
            connection.close()
            return
        connection.note_idle()
        entries.append(
            _IdleConnection(
                connection, self._clock() + _idle_limit_s(connection.head)
            )
        )

    def drop_idle(self) -> None:
        """Close connections that have been idle for too long."""
        now = self._clock()
        for peer, entries in tuple(self._idle.items()):
            for entry in entries:
                if now >= entry.expires_at:
                    entry.connection.close()
            remaining = [entry for entry in entries if now < entry.expires_at]
            if remaining:
                self._idle[peer] = remaining
            else:
                self._idle.pop(peer)


def _idle_limit_s(head: ReplyHead | None) -> float:
    """Return how long the connection may stay idle, in seconds."""
    header_value = find_header(head.headers, b'keep-alive') if head else None
    advertised = _TIMEOUT.search(header_value or b'')
    if advertised is None:
        return _MAX_IDLE_S
    advertised_s = int(advertised.group(1))
    return min(_MAX_ADVERTISED_IDLE_S, advertised_s * _TIMEOUT_SHARE)
