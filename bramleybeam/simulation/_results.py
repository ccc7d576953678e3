"""Outcomes of the requests of a simulated day."""

from collections.abc import Sequence

import attrs

from bramleybeam.orders import Target, has_enough_samples


@attrs.frozen
class RequestOutcome:
    """The outcome of a request; times in seconds.

    ``time_s`` is the time of its first attempt since the start of the day.
    ``assigned_after_s`` and ``first_token_s`` are the times from then until
    it was sent to a replica and until its first token; 0 if that didn't
    happen. ``outcome`` is ``in_time``, ``late``, ``refused`` or ``failed``.
    ``value`` is what it earned and ``max_value`` what it earns in time.
    """

    request_class: str
    model: str
    adapter: str
    time_s: float
    outcome: str
    value: float
    max_value: float
    assigned_after_s: float = 0
    first_token_s: float = 0


@attrs.frozen
class DayResult:
    """The requests of a day, and its counts of store loads and orders."""

    requests: tuple[RequestOutcome, ...]
    store_loads: int
    orders_sent: int

    def value_share(self, request_class: str = '') -> float:
        """Return the earned share of the maximum value.

        An empty ``request_class`` stands for all classes.
        """
        records = [
            record
            for record in self.requests
            if request_class in {'', record.request_class}
        ]
        return _value_share(records)

    def worst_window(self, window_s: float = 4) -> float:
        """Return the lowest value share of the day's windows of ``window_s``.

        A request counts in the window in which it arrived.
        """
        windows: dict[int, list[RequestOutcome]] = {}
        for record in self.requests:
            windows.setdefault(int(record.time_s // window_s), []).append(
                record
            )
        return min(map(_value_share, windows.values()))

    def assessed_targets(self) -> dict[Target, bool]:
        """Return whether each target with enough requests was ever served.

        Targets with too few requests, or within too short a time, are left
        out.
        """
        return {
            target: any(record.value for record in target_records)
            for target, target_records in self._by_target().items()
            if has_enough_samples(len(target_records), _span_s(target_records))
        }

    def never_served(self) -> list[Target]:
        """Return the assessed targets of which no request earned a value."""
        assessed = self.assessed_targets().items()
        return sorted(target for target, is_served in assessed if not is_served)

    def longest_unserved(self) -> dict[Target, float]:
        """Return the longest time without service of each target, in seconds.

        A period starts when the first request after a served one arrives. It
        ends when a replica is chosen for the next request that is served, or
        for the last request of the day.
        """
        longest: dict[Target, float] = {}
        for target, target_records in self._by_target().items():
            unserved_since: float | None = None
            for record in sorted(target_records, key=_assigned_at):
                unserved_since = (
                    record.time_s if unserved_since is None else unserved_since
                )
                unserved_s = _assigned_at(record) - unserved_since
                longest[target] = max(unserved_s, longest.get(target, 0))
                if record.value:
                    unserved_since = None
        return longest

    def count(self, outcome: str) -> int:
        """Return the number of requests with an outcome."""
        return sum(record.outcome == outcome for record in self.requests)

    def _by_target(self) -> dict[Target, list[RequestOutcome]]:
        """Return the outcomes of each target in order of completion."""
        records: dict[Target, list[RequestOutcome]] = {}
        for record in self.requests:
            records.setdefault((record.model, record.adapter), []).append(
                record
            )
        return records


def _value_share(records: Sequence[RequestOutcome]) -> float:
    """Return the earned share of the maximum value; 1 without requests."""
    max_value = sum(record.max_value for record in records)
    return (
        sum(record.value for record in records) / max_value if max_value else 1
    )


def _span_s(records: Sequence[RequestOutcome]) -> float:
    """Return the time from the first to the last arrival in seconds."""
    times_s = [record.time_s for record in records]
    return max(times_s) - min(times_s)


def _assigned_at(record: RequestOutcome) -> float:
    """Return when a replica was chosen, or the arrival of a refused request."""
    return record.time_s + record.assigned_after_s
