"""What a gateway exchanges with the store and its peers, told once a second.

Tells a full link (bytes, slow calls to the store) from a busy process (late
timers) and from a store that is away (failed calls), and how old what the
gateway knows is.
"""

from collections import Counter
from collections.abc import Callable

import attrs
import structlog

from bramleybeam.gateway._directory import Directory

_log = structlog.get_logger('status')


@attrs.define
class Traffic:
    """Bytes and messages since the last status line, by kind."""

    _counts: Counter[str] = attrs.field(factory=Counter)
    _slowest_s: float = 0

    def note_sent(self, kind: str, size: int) -> None:
        """Count one message of ``size`` bytes that was sent."""
        self._counts[f'{kind}_out'] += 1
        self._counts[f'{kind}_out_bytes'] += size

    def note_received(self, kind: str, size: int) -> None:
        """Count one message of ``size`` bytes that has come."""
        self._counts[f'{kind}_in'] += 1
        self._counts[f'{kind}_in_bytes'] += size

    def note_store_call(
        self,
        took_s: float,
        sizes: tuple[int, int],
        *,
        answered: bool,
    ) -> None:
        """Count a call to the store; ``sizes`` in bytes, out and in."""
        sent, received = sizes
        self.note_sent('store', sent)
        if answered:
            self.note_received('store', received)
        else:
            self._counts['store_failed'] += 1
        self._slowest_s = max(self._slowest_s, took_s)

    def take(self) -> dict[str, float]:
        """Return what was counted, and start anew."""
        taken: dict[str, float] = dict(self._counts)
        taken['store_slowest_s'] = round(self._slowest_s, 3)
        self._counts.clear()
        self._slowest_s = 0
        return taken


class StatusReporter:
    """Writes the status line; ``take_lateness`` gives the loop's delay."""

    def __init__(
        self,
        directory: Directory,
        traffic: Traffic,
        take_lateness: Callable[[], float],
    ) -> None:
        """Store what the line is made from."""
        self._directory = directory
        self._traffic = traffic
        self._take_lateness = take_lateness

    async def report(self) -> None:
        """Write one line."""
        _log.info(
            'status',
            loop_late_s=round(self._take_lateness(), 3),
            replicas=len(self._directory.replicas),
            peers=len(self._directory.peers),
            **self._directory.describe_belief(),
            **self._traffic.take(),
        )
