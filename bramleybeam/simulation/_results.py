"""What became of the requests of a day."""

from collections.abc import Sequence

import attrs

from bramleybeam.orders import Target, has_enough_samples


@attrs.frozen
class RequestOutcome:
    """What became of a request.

    ``moment`` is when it came first, ``chosen_s`` the time until it was handed
    to a replica and ``wait_s`` that to its first event; ``outcome`` is one of
    ``in_time``, ``late``, ``refused`` and ``failed``.
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

    requests: tuple[RequestOutcome, ...]
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
        windows: dict[int, list[RequestOutcome]] = {}
        for row in self.requests:
            windows.setdefault(int(row.moment // length_s), []).append(row)
        return min(map(_share, windows.values()))

    def judged_targets(self) -> dict[Target, bool]:
        """Tell of each target that was asked for long whether it was served."""
        return {
            target: any(row.worth for row in found)
            for target, found in self._by_target().items()
            if has_enough_samples(len(found), _span(found))
        }

    def never_served(self) -> list[Target]:
        """Name the targets that were asked for in vain all through."""
        judged = self.judged_targets().items()
        return sorted(target for target, is_served in judged if not is_served)

    def longest_unserved(self) -> dict[Target, float]:
        """Return for how many seconds each target was asked for in vain.

        Counted from the first request that had to wait for it, or was refused,
        to the next one that was handed to a replica, or came last.
        """
        longest: dict[Target, float] = {}
        for target, found in self._by_target().items():
            since: float | None = None
            for row in sorted(found, key=_end_of):
                since = row.moment if since is None else since
                spent = _end_of(row) - since
                longest[target] = max(spent, longest.get(target, 0))
                if row.worth:
                    since = None
        return longest

    def count(self, outcome: str) -> int:
        """Count the requests that ended so."""
        return sum(row.outcome == outcome for row in self.requests)

    def _by_target(self) -> dict[Target, list[RequestOutcome]]:
        rows: dict[Target, list[RequestOutcome]] = {}
        for row in self.requests:
            rows.setdefault((row.model, row.adapter), []).append(row)
        return rows


def _share(rows: Sequence[RequestOutcome]) -> float:
    owed = sum(row.owed for row in rows)
    return sum(row.worth for row in rows) / owed if owed else 1


def _span(rows: Sequence[RequestOutcome]) -> float:
    moments = [row.moment for row in rows]
    return max(moments) - min(moments)


def _end_of(row: RequestOutcome) -> float:
    return row.moment + row.chosen_s
