"""Observes peers, and shares an observation among all who need it."""

import asyncio
import math
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from typing import Final

import attrs
import structlog

from bramleybeam.liveness._evidence import (
    MIN_RESTART_S,
    Evidence,
    Liveness,
    NoReply,
    judge,
)
from bramleybeam.liveness._guard import Guard, GuardTable
from bramleybeam.liveness._probes import Peer, probe_port, probe_process
from bramleybeam.timers import TaskSet, boot_clock

# Time after the end of a connection until its peer is observed. The system closes
# the port and the other connections of a process that ends in this time.
SETTLE_S: Final = 0.02
# Time for which an unclear observation is repeated, and the pause between.
_PERSISTENCE_S: Final = 1.0
_PAUSE_S: Final = 0.25
# Time for which an observation that a peer is gone is used, as its connections
# may be found to have ended one after the other.
_REUSE_S: Final = 1.0
_log = structlog.get_logger('liveness')


@attrs.frozen
class _Port:
    """Observes whether any process accepts connections."""

    peer: Peer


@attrs.frozen
class _Guarded:
    """Observes whether the owner of a connection replies."""

    guard: Guard

    @property
    def peer(self) -> Peer:
        """The peer that owns the connection."""
        return self.guard.peer


@attrs.frozen
class _Process:
    """Observes which process accepts connections."""

    peer: Peer


_Method = _Port | _Guarded | _Process


class ProcessObserver:
    """Observes peers, each by one connection of a kind at a time.

    ``on_gone`` is called with a peer that was found to be gone.
    """

    def __init__(self, on_gone: Callable[[Peer], None]) -> None:
        """Store the callback."""
        self._on_gone = on_gone
        self._tasks = TaskSet()
        self._guards = GuardTable()
        self._observations: dict[_Method, asyncio.Future[Evidence]] = {}

    def guard(
        self, peer: Peer, alive_at: float, delay_s: float
    ) -> AbstractContextManager[Guard]:
        """Keep a connection to a peer open while its answer is read.

        ``alive_at`` is when the request was sent. It is opened after ``delay_s``
        seconds.
        """
        return self._guards.hold(peer, alive_at, delay_s)

    async def check(
        self,
        peer: Peer,
        alive_at: float = -math.inf,
        guard: Guard | None = None,
    ) -> Liveness:
        """Return whether a peer lives, of which a connection just ended.

        ``alive_at`` is a time at which it lived for certain, see ``judge``.
        Observations from before the end of the connection are not used.
        """
        ended_at = asyncio.get_running_loop().time()
        liveness = Liveness.UNCLEAR
        for method in _list_methods(peer, alive_at, guard):
            evidence = await self._observe_since(method, ended_at)
            liveness = judge(evidence, peer.identity, alive_at)
            is_unreachable = isinstance(evidence, NoReply) and not isinstance(
                method, _Guarded
            )
            if liveness != Liveness.UNCLEAR or is_unreachable:
                break
        return liveness

    def close(self) -> None:
        """Cancel the observations."""
        self._tasks.cancel()
        self._guards.close()

    async def _observe_since(
        self, method: _Method, ended_at: float
    ) -> Evidence:
        """Return what is observed after the end of a connection."""
        while True:
            evidence = await asyncio.shield(self._find_or_begin(method))
            if isinstance(evidence, NoReply) or _is_gone(method, evidence):
                return evidence
            if evidence.seen_at >= ended_at + SETTLE_S / 2:
                return evidence

    def _find_or_begin(self, method: _Method) -> asyncio.Future[Evidence]:
        observation = self._observations.get(method)
        if observation is None:
            observation = asyncio.get_running_loop().create_future()
            self._observations[method] = observation
            self._tasks.spawn(self._observe(method, observation))
        return observation

    async def _observe(
        self, method: _Method, outcome: asyncio.Future[Evidence]
    ) -> None:
        try:
            await self._finish(method, outcome)
        finally:
            self._observations.pop(method, None)
            outcome.cancel()

    async def _finish(
        self, method: _Method, outcome: asyncio.Future[Evidence]
    ) -> None:
        """Set the outcome, and keep it if the peer is gone."""
        await asyncio.sleep(SETTLE_S)
        evidence = await _probe_persistently(method)
        outcome.set_result(evidence)
        is_gone = _is_gone(method, evidence)
        _log.info(
            'peer_observed',
            peer=method.peer.identity.name,
            address=method.peer.address,
            method=type(method).__name__.strip('_').lower(),
            evidence=repr(evidence),
            is_gone=is_gone,
        )
        if is_gone:
            self._on_gone(method.peer)
            await asyncio.sleep(_REUSE_S)


def _is_gone(method: _Method, evidence: Evidence) -> bool:
    """Whether a peer has ended, whenever it was observed."""
    liveness = judge(evidence, method.peer.identity, -math.inf)
    return liveness == Liveness.GONE


def _list_methods(
    peer: Peer, alive_at: float, guard: Guard | None
) -> Iterator[_Method]:
    """Yield the ways to observe a peer that can prove anything, cheapest first."""
    if boot_clock() < alive_at + MIN_RESTART_S:
        yield _Port(peer)
    if guard is not None and guard.covers(alive_at):
        yield _Guarded(guard)
    yield _Process(peer)


async def _probe_persistently(method: _Method) -> Evidence:
    """Observe a peer again while it neither refuses nor replies."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + _PERSISTENCE_S
    while True:
        evidence = await _probe(method)
        is_clear = not isinstance(evidence, NoReply)
        if is_clear or isinstance(method, _Guarded) or loop.time() > ends_at:
            return evidence
        await asyncio.sleep(_PAUSE_S)


async def _probe(method: _Method) -> Evidence:
    match method:
        case _Port(peer=peer):
            return await probe_port(peer)
        case _Guarded(guard=guard):
            return await guard.probe()
        case _Process(peer=peer):
            return await probe_process(peer)
