"""Shares of the requests that fail at each replica, over all gateways.

Handles this load: a replica fails part of its requests while its health check
passes. One gateway sends it few requests, so that only the counts of all
gateways show it soon.
"""

import math
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

import attrs

# Time constant of the counts, in seconds.
_DECAY_S: Final = 3.0
# Counts that are assumed in addition to those observed, so that a single failure
# at an idle replica does not count as a share of 1.
_PRIOR_COUNT: Final = 2.0
# Failures below which a replica's counts are not reported.
_MIN_REPORTED: Final = 0.1


@attrs.frozen
class OutcomeCounts:
    """Recent outcomes at a replica, with weights that decay with their age."""

    failures: float = 0
    completions: float = 0


@attrs.define
class _DecayingCounts:
    counts: OutcomeCounts = OutcomeCounts()
    updated_at: float = 0

    def read(self, now: float) -> OutcomeCounts:
        weight = math.exp((self.updated_at - now) / _DECAY_S)
        return OutcomeCounts(
            self.counts.failures * weight, self.counts.completions * weight
        )

    def add(self, now: float, *, has_failed: bool) -> None:
        current = self.read(now)
        self.counts = OutcomeCounts(
            current.failures + has_failed,
            current.completions + (not has_failed),
        )
        self.updated_at = now


@attrs.frozen
class _RemoteCounts:
    """The counts by replica that a neighbour reported."""

    expires_at: float
    counts: Mapping[str, OutcomeCounts]


class FailureTable:
    """Sums the outcomes at each replica; arguments ``now`` are in seconds.

    A neighbour reports the sum over all gateways on its side of the tree.
    """

    def __init__(self) -> None:
        """Start without outcomes."""
        self._local: dict[str, _DecayingCounts] = {}
        self._remote: dict[str, _RemoteCounts] = {}

    def note(self, replica: str, now: float, *, has_failed: bool) -> None:
        """Count the outcome of an attempt at a replica."""
        local = self._local.setdefault(replica, _DecayingCounts())
        local.add(now, has_failed=has_failed)

    def share(self, replica: str, now: float) -> float:
        """Return the estimated probability that a request fails there."""
        total = _sum_counts(self._list_counts(replica, now))
        failures = total.failures
        return failures / (failures + total.completions + _PRIOR_COUNT)

    def update_remote(
        self,
        neighbour: str,
        counts: Mapping[str, OutcomeCounts],
        expires_at: float,
    ) -> None:
        """Replace a neighbour's report, which is valid until ``expires_at``."""
        self._remote[neighbour] = _RemoteCounts(expires_at, counts)

    def forget(self, neighbour: str) -> None:
        """Drop the report of a gateway that is no longer a neighbour."""
        self._remote.pop(neighbour, None)

    def report_for(
        self, neighbour: str, now: float
    ) -> dict[str, OutcomeCounts]:
        """Return the counts to report to a neighbour.

        They cover all gateways except those on the neighbour's side of the
        tree, and only replicas with failures.
        """
        names = set(self._local)
        for remote in self._remote.values():
            names.update(remote.counts)
        report = {
            name: _sum_counts(self._list_counts(name, now, neighbour))
            for name in sorted(names)
        }
        return {
            name: counts
            for name, counts in report.items()
            if counts.failures >= _MIN_REPORTED
        }

    def _list_counts(
        self, replica: str, now: float, excluded: str = ''
    ) -> Iterator[OutcomeCounts]:
        local = self._local.get(replica)
        if local is not None:
            yield local.read(now)
        for neighbour, remote in self._remote.items():
            counts = remote.counts.get(replica)
            is_fresh = now < remote.expires_at and neighbour != excluded
            if counts is not None and is_fresh:
                yield counts


def _sum_counts(all_counts: Iterable[OutcomeCounts]) -> OutcomeCounts:
    failures = 0.0
    completions = 0.0
    for counts in all_counts:
        failures += counts.failures
        completions += counts.completions
    return OutcomeCounts(failures, completions)
