"""Counts what callers ask for, by model, as rates that fade."""

import math
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Final

import attrs

from bramleybeam.orders import Demand, ModelDemand, Target

# Time constants of the rates, in seconds: one that is steady, and one that
# shows soon that demand has moved to a model.
_FADE_S: Final = 8.0
_QUICK_FADE_S: Final = 2.0
# Age at which another gateway's word no longer counts.
_STALE_S: Final = 3.0


@attrs.define
class _FadingRate:
    fade_s: float = _FADE_S
    level: float = 0
    moment: float = 0

    def add(self, amount: float, now: float) -> None:
        self.level = self.read(now) + amount / self.fade_s
        self.moment = now

    def read(self, now: float) -> float:
        return self.level * math.exp((self.moment - now) / self.fade_s)


@attrs.define
class _RisingRate:
    """Rises with the last seconds, and falls with the steady rate."""

    steady: _FadingRate = attrs.field(factory=_FadingRate)
    quick: _FadingRate = attrs.field(
        factory=partial(_FadingRate, _QUICK_FADE_S)
    )

    def add(self, amount: float, now: float) -> None:
        self.steady.add(amount, now)
        self.quick.add(amount, now)

    def read(self, now: float) -> float:
        return max(self.steady.read(now), self.quick.read(now))


@attrs.define
class _OwnDemand:
    urgent: _RisingRate = attrs.field(factory=_RisingRate)
    patient: _FadingRate = attrs.field(factory=_FadingRate)
    tokens: _RisingRate = attrs.field(factory=_RisingRate)
    was_urgent: bool = False
    adapted: _FadingRate = attrs.field(factory=_FadingRate)

    def read(self, now: float) -> ModelDemand:
        return ModelDemand(
            self.urgent.read(now),
            self.patient.read(now),
            self.tokens.read(now),
            self.was_urgent,
            self.adapted.read(now),
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
        target: Target,
        tokens: int,
        now: float,
        *,
        is_patient: bool,
    ) -> None:
        """Count a request and the tokens of its prompt."""
        model, adapter = target
        own = self._models.setdefault(model, _OwnDemand())
        if adapter:
            own.adapted.add(1, now)
        if is_patient:
            own.patient.add(1, now)
        else:
            own.urgent.add(1, now)
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
