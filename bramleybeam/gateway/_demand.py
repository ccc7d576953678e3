"""Counts what callers ask for, by model, as rates that fade."""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from bramleybeam.orders import (
    Demand,
    Target,
)

# Time constant of the rates, in seconds.
_FADE_S: Final = 6.0
# Age at which another gateway's word no longer counts.
_STALE_S: Final = 3.0
_FAINT: Final = 0.01


@attrs.define
class _FadingRate:
    level: float = 0
    moment: float = 0

    def add(self, amount: float, now: float) -> None:
        self.level = self.read(now) + amount / _FADE_S
        self.moment = now

    def read(self, now: float) -> float:
        return self.level * math.exp((self.moment - now) / _FADE_S)


@attrs.frozen
class _Told:
    moment: float
    demand: Demand


class DemandTable:
    """Own demand, and what the other gateways tell of theirs."""

    def __init__(self) -> None:
        """Start without demand."""
        self._requests: dict[str, _FadingRate] = {}
        self._tokens: dict[str, _FadingRate] = {}
        self._waiting: Counter[Target] = Counter()
        self._told: dict[str, _Told] = {}

    def note_request(self, model: str, tokens: int, now: float) -> None:
        """Count a request and its prompt."""
        self._requests.setdefault(model, _FadingRate()).add(1, now)
        self._tokens.setdefault(model, _FadingRate()).add(tokens, now)

    def begin_waiting(self, target: Target) -> None:
        """Count a request that waits for its target to be loaded."""
        self._waiting[target] += 1

    def end_waiting(self, target: Target) -> None:
        """Stop counting a request that waited."""
        self._waiting[target] -= 1
        if self._waiting[target] <= 0:
            self._waiting.pop(target)

    def hear(self, gateway: str, demand: Demand, now: float) -> None:
        """Take in another gateway's demand."""
        self._told[gateway] = _Told(now, demand)

    def own(self, now: float) -> Demand:
        """Return this gateway's own demand."""
        return Demand(
            _read_all(self._requests, now),
            _read_all(self._tokens, now),
            dict(self._waiting),
        )

    def total(self, now: float) -> Demand:
        """Return the demand at all gateways."""
        told = (
            one.demand
            for one in self._told.values()
            if now - one.moment < _STALE_S
        )
        parts = [self.own(now), *told]
        return Demand(
            _add_up(part.rates for part in parts),
            _add_up(part.token_rates for part in parts),
            _count_up(part.waiting for part in parts),
        )


def _read_all(rates: Mapping[str, _FadingRate], now: float) -> dict[str, float]:
    shown = {name: rate.read(now) for name, rate in rates.items()}
    return {name: rate for name, rate in shown.items() if rate > _FAINT}


def _add_up(parts: Iterable[Mapping[str, float]]) -> dict[str, float]:
    total: dict[str, float] = {}
    for part in parts:
        for name, rate in part.items():
            total[name] = total.get(name, 0) + rate
    return total


def _count_up(parts: Iterable[Mapping[Target, int]]) -> dict[Target, int]:
    total: Counter[Target] = Counter()
    for part in parts:
        total.update(part)
    return dict(total)
