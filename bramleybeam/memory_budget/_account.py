"""The bytes that a process holds for one connection of a caller."""

import enum
from collections.abc import Mapping
from typing import Final

import attrs

# What a connection costs without any request: its transport, parser and timer.
CONNECTION_BYTES: Final = 8192
# A connection that holds up to this much is small. It is dropped only if no
# large one can be.
SMALL_BYTES: Final = 65_536
# A connection is stalled if less than the step has moved for this long. At a
# tenth of a link of 10 Mbit/s, the step takes 0.13 s.
STALL_S: Final = 1.0
_PROGRESS_BYTES: Final = 16_384


class Holding(enum.StrEnum):
    """What bytes are held for.

    ``PARTIAL`` are received parts of a request, ``WHOLE`` complete requests that
    wait or are in flight, ``REPLY`` are bytes of a replica's answer that were not
    forwarded yet, ``UNREAD`` those that the caller has not read.
    """

    PARTIAL = 'partial'
    WHOLE = 'whole'
    REPLY = 'reply'
    UNREAD = 'unread'


@attrs.define(eq=False)
class Account:
    """The bytes held for one connection.

    ``is_in_flight`` is whether a request of it is being handled.
    ``progressed_at`` is when it last made progress: parts of a request arrived,
    or the caller read. An account that ``is_dropped`` holds no bytes any more, while
    the connection is closing.
    """

    progressed_at: float
    is_in_flight: bool = False
    is_dropped: bool = False
    size: int = CONNECTION_BYTES
    held: dict[Holding, int] = attrs.field(
        factory=lambda: dict.fromkeys(Holding, 0)
    )
    _given_up: dict[Holding, int] = attrs.field(factory=dict)
    _advanced_bytes: int = 0

    @property
    def reason(self) -> str:
        """What it held most bytes for when it was dropped."""
        largest = max(self._given_up, key=self._given_up.__getitem__)
        return str(largest) if self._given_up[largest] else 'connections'

    @property
    def is_large(self) -> bool:
        """Whether it holds more than an ordinary small request."""
        return self.size > SMALL_BYTES

    @property
    def is_idle(self) -> bool:
        """Whether it holds nothing but its connection."""
        return self.size == CONNECTION_BYTES and not self.is_in_flight

    @property
    def is_droppable(self) -> bool:
        """Whether its bytes may be given up for others.

        A request in flight may have run already. It is given up only if its
        caller does not read the answer, or sends a part of another request.
        """
        if self.is_dropped or self.is_idle:
            return False
        is_waiting = self.held[Holding.PARTIAL] or self.held[Holding.UNREAD]
        return bool(is_waiting) or not self.is_in_flight

    def is_stalled(self, now: float) -> bool:
        """Whether it has made no progress for a while, at ``now`` in seconds."""
        return now - self.progressed_at >= STALL_S

    def update(self, now: float, changed: Mapping[Holding, int]) -> None:
        """Replace the bytes held for the given purposes."""
        for holding, held_bytes in changed.items():
            self._note_progress(now, holding, held_bytes)
            self.size += held_bytes - self.held[holding]
            self.held[holding] = held_bytes

    def describe(self) -> dict[str, int]:
        """Return the bytes that it holds, or held until it was dropped."""
        held = self._given_up if self.is_dropped else self.held
        return {f'{holding}_bytes': size for holding, size in held.items()}

    def drop(self) -> None:
        """Give up all bytes but those of the connection itself."""
        if self.is_dropped:
            return
        self.is_dropped = True
        self._given_up = self.held
        self.held = dict.fromkeys(Holding, 0)
        self.size = CONNECTION_BYTES

    def _note_progress(
        self, now: float, holding: Holding, held_bytes: int
    ) -> None:
        """Record progress of the caller; that of a replica does not count."""
        before = self.held[holding]
        grown = held_bytes - before
        if holding == Holding.PARTIAL:
            self._advanced_bytes += max(0, grown)
        elif holding == Holding.UNREAD:
            self._advanced_bytes += max(0, -grown)
        has_begun = not before and grown > 0
        if has_begun or self._advanced_bytes >= _PROGRESS_BYTES:
            self.progressed_at = now
            self._advanced_bytes = 0
