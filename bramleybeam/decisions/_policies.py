"""Policies that choose an upstream: the system's own, and naive twins.

All have one verb, ``choose``, so that the daemons, the tests and the
benchmarks run them through the same code. The twins are baselines for
differential tests and measurements; no setting selects them.
"""

import random
from collections.abc import Sequence
from typing import Protocol

from bramleybeam.decisions._routing import Candidate, choose_upstream


class Policy(Protocol):
    """Chooses among the upstreams that hold a model."""

    # Whether requests wait in order of slack and hopeless ones are refused.
    uses_slack: bool

    def choose(
        self,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate | None:
        """Return the chosen candidate, or ``None`` to wait."""


class EstimatePolicy:
    """The system's own: two drawn, plus the best cache; least estimate."""

    uses_slack = True

    def choose(
        self,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate | None:
        """Return the candidate with the least estimate of those drawn."""
        return choose_upstream(candidates, rng)


class RandomPolicy:
    """Baseline: any upstream, full or not."""

    uses_slack = False

    def choose(
        self,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate | None:
        """Return a random candidate."""
        return rng.choice(candidates) if candidates else None


class RoundRobinPolicy:
    """Baseline: one upstream after the other."""

    uses_slack = False

    def __init__(self) -> None:
        """Start with the first."""
        self._turn = 0

    def choose(
        self,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate | None:
        """Return the next candidate by name."""
        if not candidates:
            return None
        self._turn += 1
        ranked = sorted(candidates, key=lambda one: one.name)
        return ranked[self._turn % len(ranked)]


class StaleLeastPolicy:
    """Baseline: the fewest in flight by the last report alone."""

    uses_slack = False

    def choose(
        self,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate | None:
        """Return the candidate whose last report was the lowest."""
        return min(
            candidates,
            key=lambda one: (one.reported, one.name),
            default=None,
        )
