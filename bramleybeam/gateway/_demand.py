"""Counts what callers ask for, by model, as rates that fade."""

import math
from collections import Counter
from collections.abc import Callable
from typing import Final

import attrs

from bramleybeam.orders import Demand, ModelDemand, Target

# Time constant of the rates, in seconds.
_FADE_S: Final = 8.0
# Age at which another gateway's word no longer counts.
_STALE_S: Final = 3.0


@attrs.define
class _FadingRate:
    level: float = 0
    moment: float = 0

    def add(self, amount: float, now: float) -> None:
        self.level = self.read(now) + amount / _FADE_S
        self.moment = now

    def read(self, now: float) -> float:
        return self.level * math.exp((self.moment - now) / _FADE_S)


@attrs.define
class _OwnDemand:
    urgent: _FadingRate = attrs.field(factory=_FadingRate)
    patient: _FadingRate = attrs.field(factory=_FadingRate)
    tokens: _FadingRate = attrs.field(factory=_FadingRate)
    was_urgent: bool = False

    def read(self, now: float) -> ModelDemand:
        return ModelDemand(
            self.urgent.read(now),
            self.patient.read(now),
            self.tokens.read(now),
            self.was_urgent,
        )


@attrs.frozen
class _Told:
    moment: float
    demand: Demand


class DemandTable:
    """Own demand, and what the other gateways tell of theirs.

    ``on_want`` is called when a request begins to wait for a load.
    """

    def __init__(self) -> None:
        """Start without demand."""
        self.on_want: list[Callable[[], None]] = []
        self._models: dict[str, _OwnDemand] = {}
        self._waiting: Counter[Target] = Counter()
        self._told: dict[str, _Told] = {}

    @property
    def has_waiting(self) -> bool:
        """Whether a request waits for a load here."""
        return bool(self._waiting)

    def note_request(
        self,
        model: str,
        tokens: int,
        now: float,
        *,
        is_patient: bool,
    ) -> None:
        """Count a request and its prompt."""
        own = self._models.setdefault(model, _OwnDemand())
        rate = own.patient if is_patient else own.urgent
        rate.add(1, now)
        own.tokens.add(tokens, now)
        own.was_urgent |= not is_patient

    def begin_waiting(self, target: Target) -> None:
        """Count a request that waits for its target to be loaded."""
        self._waiting[target] += 1
        for callback in self.on_want:
            callback()

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
        models = {name: own.read(now) for name, own in self._models.items()}
        return Demand(models, dict(self._waiting))

    def total(self, now: float) -> Demand:
        """Return the demand at all gateways."""
        models = {name: own.read(now) for name, own in self._models.items()}
        waiting = Counter(self._waiting)
        for told in self._told.values():
            if now - told.moment >= _STALE_S:
                continue
            waiting.update(told.demand.waiting)
            for name, one in told.demand.models.items():
                known = models.get(name)
                models[name] = known.plus(one) if known else one
        return Demand(models, dict(waiting))
