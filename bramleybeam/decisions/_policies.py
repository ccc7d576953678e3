"""Policies that choose an upstream: the one in use, and simple baselines.

All have the same interface, so that the daemons, the tests and the benchmarks
run them through the same code. The baselines are for differential tests and
measurements; no setting selects them.
"""

import random
from collections.abc import Sequence
from typing import Protocol

from bramleybeam.decisions._routing import Candidate, choose_upstream


class Policy(Protocol):
    """Chooses among the upstreams that hold a model."""

    # Whether queued requests are ordered by slack, and refused early if they
    # would exceed their queue time limit.
    uses_slack: bool

    def choose(
        self,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate | None:
        """Return the chosen candidate, or ``None`` if the request must wait."""


class EstimatePolicy:
    """The policy in use: lowest estimated time to the first token.

    It compares two random candidates and the one with the best prefix cache.
    """

    uses_slack = True

    def choose(
        self,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate | None:
        """Return the candidate with the lowest estimate of those compared."""
        return choose_upstream(candidates, rng)


class RandomPolicy:
    """Baseline: any upstream, even a full candidate."""

    uses_slack = False

    def choose(
        self,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate | None:
        """Return a random candidate, or ``None`` if there is none."""
        return rng.choice(candidates) if candidates else None


class RoundRobinPolicy:
    """Baseline: the upstreams in turn, even full ones."""

    uses_slack = False

    def __init__(self) -> None:
        """Set the count of choices to zero."""
        self._choices = 0

    def choose(
        self,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate | None:
        """Return the next candidate in the order of the names."""
        if not candidates:
            return None
        self._choices += 1
        ranked = sorted(candidates, key=lambda candidate: candidate.name)
        return ranked[self._choices % len(ranked)]


class StaleLeastPolicy:
    """Baseline: fewest requests in flight according to the last report."""

    uses_slack = False

    def choose(
        self,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate | None:
        """Return the candidate with the lowest reported number in flight."""
        return min(
            candidates,
            key=lambda candidate: (candidate.reported, candidate.name),
            default=None,
        )
