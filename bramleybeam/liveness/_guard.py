"""Connections that belong to the process that is writing an answer.

While such a connection replies, the process lives: whoever started later at the
same address has not accepted it.
"""

import asyncio
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import attrs
import structlog

from bramleybeam.liveness._evidence import (
    MIN_RESTART_S,
    Evidence,
    Liveness,
    NoReply,
    Replied,
    judge,
)
from bramleybeam.liveness._probes import PROBE_ERRORS, Peer, ask
from bramleybeam.relay import PeerConnection
from bramleybeam.timers import TaskSet, boot_clock

_log = structlog.get_logger('liveness')


@attrs.define(eq=False)
class Guard:
    """One connection to a peer, shared by the answers that it is writing.

    ``proven_at`` is when the peer first replied on it, by the clock that includes
    suspension, ``None`` before. ``users`` is the number of answers. ``has_begun``
    is set once it is being opened, and ``is_settled`` once the outcome is known.
    """

    peer: Peer
    proven_at: float | None = None
    users: int = 0
    has_begun: bool = False
    is_settled: bool = False
    _connection: PeerConnection | None = None

    def covers(self, alive_at: float) -> bool:
        """Whether it belongs to the process that lived at a time, in seconds.

        A process that lived then can't have been replaced before the first reply,
        or has run side by side with the owner of the connection, which no two
        processes at one address do.
        """
        if self._connection is None or not self._connection.is_reusable:
            return False
        proven_at = self.proven_at
        return proven_at is not None and proven_at < alive_at + MIN_RESTART_S

    async def open(self) -> None:
        """Connect, and let the peer reply once.

        A connection that was accepted on the way, and not by the peer, gets no
        reply in time.
        """
        try:
            await self._open()
        finally:
            self.is_settled = True
            if not self.users:
                self.close()

    async def probe(self) -> Evidence:
        """Return whether the owner of the connection still replies."""
        seen_at = asyncio.get_running_loop().time()
        if self._connection is None:
            return NoReply(seen_at, 'not connected')
        try:
            statement = await ask(self._connection, self.peer.query)
        except PROBE_ERRORS as error:
            # A reply that comes after all would answer the next query.
            self.close()
            return NoReply(seen_at, repr(error))
        return Replied(seen_at, boot_clock(), statement, is_guard=True)

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._connection is not None:
            self._connection.close()

    async def _open(self) -> None:
        try:
            self._connection = await self.peer.connect()
            statement = await ask(self._connection, self.peer.query)
        except PROBE_ERRORS as error:
            self.close()
            _log.info(
                'guard_failed', address=self.peer.address, error=repr(error)
            )
            return
        now = boot_clock()
        evidence = Replied(now, now, statement)
        if judge(evidence, self.peer.identity, now) == Liveness.ALIVE:
            self.proven_at = now


class GuardTable:
    """The guards of the answers that are being read, at most one new per peer."""

    def __init__(self) -> None:
        """Start without guards."""
        self._tasks = TaskSet()
        self._guards: dict[Peer, Guard] = {}

    @contextmanager
    def hold(
        self, peer: Peer, alive_at: float, delay_s: float
    ) -> Iterator[Guard]:
        """Keep a guard open for an answer, from ``delay_s`` seconds on.

        ``alive_at`` is when the request was sent, by the clock that includes
        suspension. A guard that was opened for another answer is shared if it
        covers this one too; one that could not cover this one is not opened.
        """
        guard = self._guards.get(peer)
        if guard is None or not self._may_cover(guard, alive_at):
            guard = Guard(peer)
        guard.users += 1
        with ExitStack() as stack:
            stack.callback(self._release, guard)
            if boot_clock() + delay_s < alive_at + MIN_RESTART_S:
                self._guards[peer] = guard
                loop = asyncio.get_running_loop()
                timer = loop.call_later(delay_s, self._open, guard)
                stack.callback(timer.cancel)
            yield guard

    def close(self) -> None:
        """Cancel what is being opened."""
        self._tasks.cancel()

    def _open(self, guard: Guard) -> None:
        """Open a guard, unless another answer has begun that."""
        if not guard.has_begun:
            guard.has_begun = True
            self._tasks.spawn(guard.open())

    def _may_cover(self, guard: Guard, alive_at: float) -> bool:
        """Whether a guard covers an answer, or may once it is open."""
        return not guard.is_settled or guard.covers(alive_at)

    def _release(self, guard: Guard) -> None:
        """Close a guard that no other answer uses."""
        guard.users -= 1
        if guard.users:
            return
        guard.close()
        if self._guards.get(guard.peer) is guard:
            self._guards.pop(guard.peer)
