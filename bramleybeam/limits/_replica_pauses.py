"""Pauses in the requests to replicas that refuse them for lack of capacity.

Handles this load: a replica receives more requests than it can take, refuses
some and may ask for a pause. A gateway that goes on sending takes capacity from
the requests that the replica has accepted.
"""

import random
from collections.abc import Iterator, Mapping
from typing import Final

import attrs

# One start of a replica: its name and its start time.
Incarnation = tuple[str, int]

# Pause, in seconds, after a refusal that does not ask for one. By then some of
# the replica's requests have probably ended.
_UNSTATED_PAUSE_S: Final = 0.1
# Largest extension of a pause, as a share of it, so that gateways do not all
# return at the same moment.
_SPREAD_SHARE: Final = 0.2


@attrs.define
class _Pause:
    """A pause until a time in seconds; ``is_requested`` by the replica."""

    until: float
    is_requested: bool


class PauseTable:
    """Pauses by incarnation of a replica; arguments ``now`` are in seconds.

    A pause that a replica has asked of this gateway is binding. One that it has
    asked of another gateway is only a hint: this gateway may send requests, but
    prefers other replicas.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start without pauses; ``rng`` draws their extensions."""
        self._rng = rng
        self._pauses: dict[Incarnation, _Pause] = {}
        self._hints: dict[Incarnation, float] = {}

    def note_refusal(
        self,
        replica: Incarnation,
        retry_after_s: float | None,
        now: float,
    ) -> float:
        """Pause after a refusal and return the length of the pause, in seconds.

        ``retry_after_s`` is the pause that the replica asks for, ``None`` if
        it does not ask. A pause in progress is never shortened.
        """
        pause_s = _UNSTATED_PAUSE_S if retry_after_s is None else retry_after_s
        pause_s *= 1 + self._rng.uniform(0, _SPREAD_SHARE)
        current = self._pauses.get(replica)
        until = now + pause_s
        is_requested = retry_after_s is not None
        if current is not None and now < current.until:
            until = max(until, current.until)
            is_requested = is_requested or current.is_requested
        self._pauses[replica] = _Pause(until, is_requested)
        return pause_s

    def remaining_s(self, replica: Incarnation, now: float) -> float:
        """Return the seconds until requests may be sent; 0 if they may now."""
        pause = self._pauses.get(replica)
        return max(0, pause.until - now) if pause else 0

    def is_overloaded(self, replica: Incarnation, now: float) -> bool:
        """Whether a replica asked this or another gateway for a pause."""
        pause = self._pauses.get(replica)
        is_paused = (
            pause is not None and pause.is_requested and now < pause.until
        )
        return is_paused or now < self._hints.get(replica, 0)

    def learn(self, hints: Mapping[Incarnation, float], now: float) -> None:
        """Record the pauses of other gateways: the seconds that are left."""
        for replica, remaining_s in hints.items():
            until = now + remaining_s
            self._hints[replica] = max(until, self._hints.get(replica, 0))

    def list_requested(self, now: float) -> dict[Incarnation, float]:
        """Return the pauses to report, in seconds left, and drop ended ones."""
        self._pauses = {
            replica: pause
            for replica, pause in self._pauses.items()
            if now < pause.until
        }
        self._hints = {
            replica: until
            for replica, until in self._hints.items()
            if now < until
        }
        remaining: dict[Incarnation, float] = {}
        for replica, until in self._list_ends():
            remaining[replica] = max(until - now, remaining.get(replica, 0))
        return remaining

    def _list_ends(self) -> Iterator[tuple[Incarnation, float]]:
        for replica, pause in self._pauses.items():
            if pause.is_requested:
                yield replica, pause.until
        yield from self._hints.items()
