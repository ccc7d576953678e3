"""Status log line of a gateway, written once a second.

Its fields distinguish a saturated link (bytes, slow calls to the store), a busy
process (late timers) and an unavailable store (failed calls). It also shows the
age of the store's and the planner's last update.
"""

from collections import Counter
from collections.abc import Callable

import attrs
import structlog

from bramleybeam.gateway._directory import Directory

_log = structlog.get_logger('status')


@attrs.define
class Traffic:
    """Counts messages and bytes by kind since the last status line.

    The kinds are ``peers``, datagrams between gateways, and ``store``.
    """

    _counts: Counter[str] = attrs.field(factory=Counter)
    _slowest_s: float = 0

    def note_sent(self, kind: str, size: int) -> None:
        """Count one message of ``size`` bytes that was sent."""
        self._counts[f'{kind}_out'] += 1
        self._counts[f'{kind}_out_bytes'] += size

    def note_received(self, kind: str, size: int) -> None:
        """Count one message of ``size`` bytes that was received."""
        self._counts[f'{kind}_in'] += 1
        self._counts[f'{kind}_in_bytes'] += size

    def note_store_call(
        self,
        took_s: float,
        sizes: tuple[int, int],
        *,
        answered: bool,
    ) -> None:
        """Count a call to the store that took ``took_s`` seconds.

        ``sizes`` are the bytes sent and received.
        """
        sent, received = sizes
        self.note_sent('store', sent)
        if answered:
            self.note_received('store', received)
        else:
            self._counts['store_failed'] += 1
        self._slowest_s = max(self._slowest_s, took_s)

    def take(self) -> dict[str, float]:
        """Return the counts and reset them; times are in seconds."""
        counts: dict[str, float] = dict(self._counts)
        counts['store_slowest_s'] = round(self._slowest_s, 3)
        self._counts.clear()
        self._slowest_s = 0
        return counts


class StatusReporter:
    """Writes the status line.

    ``take_lateness`` returns the largest delay of the event loop, in seconds,
    since its last call.
    """

    def __init__(
        self,
        directory: Directory,
        traffic: Traffic,
        take_lateness: Callable[[], float],
    ) -> None:
        """Store the sources of the line's fields."""
        self._directory = directory
        self._traffic = traffic
        self._take_lateness = take_lateness

    async def report(self) -> None:
        """Write one status line."""
        _log.info(
            'status',
            loop_late_s=round(self._take_lateness(), 3),
            replicas=len(self._directory.replicas),
            peers=len(self._directory.peers),
            **self._directory.describe_state(),
            **self._traffic.take(),
        )
