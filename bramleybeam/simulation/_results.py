"""What became of the requests of a day."""

from collections.abc import Sequence

import attrs


@attrs.frozen
class Served:
    """What became of a request.

    ``moment`` is when it came first, ``chosen_s`` the time until it was handed
    to a replica and ``wait_s`` that to its first event; ``outcome`` is one of ``in_time``, ``late``, ``refused`` and ``failed``.
    """

    request_class: str
    model: str
    adapter: str
    moment: float
    outcome: str
    worth: float
    owed: float
    chosen_s: float = 0
    wait_s: float = 0


@attrs.frozen
class DayResult:
    """All requests of a day, and the loads from the weight store."""

    requests: tuple[Served, ...]
    store_loads: int
    orders: int

    def worth(self, request_class: str = '') -> float:
        """Return the share of the worth owed that was earned."""
        rows = [
            row
            for row in self.requests
            if request_class in {'', row.request_class}
        ]
        return _share(rows)

    def worst_window(self, length_s: float = 4) -> float:
        """Return the least share that was earned in a span of seconds."""
        windows: dict[int, list[Served]] = {}
        for row in self.requests:
            windows.setdefault(int(row.moment // length_s), []).append(row)
        return min(map(_share, windows.values()))

    def count(self, outcome: str) -> int:
        """Count the requests that ended so."""
        return sum(row.outcome == outcome for row in self.requests)


def _share(rows: Sequence[Served]) -> float:
    owed = sum(row.owed for row in rows)
    return sum(row.worth for row in rows) / owed if owed else 1
