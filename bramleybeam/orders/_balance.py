"""Estimates how many requests are late because their replicas are loaded.

Handles this load: a few models receive nearly all prompts, and the replicas
that hold them are far busier than the others. The demand for a model is spread
over its copies so that they are equally busy where that is possible. The time
that a replica spends on prefill (reading prompts) slows all its requests.
"""

from collections.abc import Callable, Collection, Mapping
from typing import Final

import attrs

from bramleybeam.orders._messages import Demand

# Prompt tokens that one replica can read in a second.
PREFILL_TOKENS_PER_S: Final = 20_000.0
# Share of a replica's time spent on prefill from which all its requests are
# late. Below it, the late fraction falls with the fourth power.
_ALL_LATE_SHARE: Final = 0.7
_LATE_EXPONENT: Final = 4
# Share from which the replica falls behind; what exceeds it can't be served.
_FULL_SHARE: Final = 0.85
# Weights of a request whose replicas are at full capacity, and of one whose
# model has no copy, relative to a late request.
_EXCESS_WEIGHT: Final = 2.0
_MISSING_WEIGHT: Final = 3.0
# Models whose prefill takes less than this share of one replica's time are
# ignored.
_MIN_TRACKED_SHARE: Final = 0.08
# Number of passes in which the demand for each model is spread again, given
# the current load from the other models.
_REBALANCE_ROUNDS: Final = 2


@attrs.frozen
class ModelCopy:
    """One copy of a model, held by a replica."""

    model: str
    replica: str


@attrs.define
class _ReplicaLoad:
    """The load of a replica.

    ``busy_share`` is the share of its time spent on prefill, ``rate`` its
    requests per second.
    """

    busy_share: float = 0
    rate: float = 0

    @property
    def late_rate(self) -> float:
        return self.rate * late_weight(self.busy_share)


@attrs.frozen
class _Redistribution:
    """The result of spreading the demand after a change of copies.

    ``late_rate`` is the new total of late requests per second. ``replicas``
    holds the new load of the replicas that change. ``assignments`` maps each
    model that was spread to its replicas and the share of their time that it
    takes.
    """

    late_rate: float
    replicas: Mapping[str, _ReplicaLoad]
    assignments: Mapping[str, list[tuple[str, float]]]


class LoadBalance:
    """The demand for busy models, spread over the replicas that hold them.

    ``holders`` maps each model to the names of its replicas. Shares are shares
    of a replica's time; rates are in requests per second. ``late_rate`` is the
    estimated rate of late requests; it includes a weighted rate for busy models
    that have no copy. A change of copies spreads again only the demand for the
    models that change and for the models at the same replicas.
    """

    def __init__(
        self,
        demand: Demand,
        holders: Mapping[str, Collection[str]],
    ) -> None:
        """Spread the demand over the current holders."""
        self._busy_shares = {
            model: model_demand.tokens / PREFILL_TOKENS_PER_S
            for model, model_demand in demand.models.items()
            if model_demand.tokens >= _MIN_TRACKED_SHARE * PREFILL_TOKENS_PER_S
        }
        self._rates = {
            model: demand.for_model(model).rate for model in self._busy_shares
        }
        self._replicas: dict[str, _ReplicaLoad] = {}
        self._assignments: dict[str, list[tuple[str, float]]] = {}
        self._holders = {
            model: tuple(holders.get(model, ())) for model in self._busy_shares
        }
        self._models_at: dict[str, list[str]] = {}
        for model, replica_names in self._holders.items():
            for name in replica_names:
                self._models_at.setdefault(name, []).append(model)
        self.late_rate = sum(
            self._current_penalty(model) for model in self._busy_shares
        )
        for _ in range(_REBALANCE_ROUNDS):
            for model in self._busy_shares:
                self._commit(self._redistribute(self._holders, (model,)))

    def late_rate_without(self, removed: ModelCopy) -> float:
        """Return the rate of late requests if a copy were removed.

        Requests for a model without any copy left count several times. The
        rate is in requests per second.
        """
        return self._evaluate(None, removed).late_rate

    def late_rate_with(
        self, added: ModelCopy, removed: ModelCopy | None = None
    ) -> float:
        """Return the rate of late requests if a copy were added.

        ``removed`` is a copy that would be removed at the same time, if any.
        """
        return self._evaluate(added, removed).late_rate

    def apply(self, added: ModelCopy, removed: ModelCopy | None = None) -> None:
        """Add a copy, remove another if given, and spread the demand again."""
        self._commit(self._evaluate(added, removed))
        self._holders = self._holders_after(added, removed)

    def is_busy(self, model: str) -> bool:
        """Whether the demand for a model is high enough to be tracked."""
        return model in self._busy_shares

    def late_rate_of(self, model: str) -> float:
        """Return the late requests per second of a busy model."""
        scale = self._rates[model] / self._busy_shares[model]
        return scale * sum(
            assigned_share * late_weight(self._replicas[name].busy_share)
            for name, assigned_share in self._assignments[model]
        )

    def busy_share_of(self, replica: str) -> float:
        """Return the share of a replica's time that is spent on prefill."""
        current_load = self._replicas.get(replica)
        return current_load.busy_share if current_load else 0

    def _evaluate(
        self, added: ModelCopy | None, removed: ModelCopy | None
    ) -> _Redistribution:
        copies = [
            copy
            for copy in (removed, added)
            if copy is not None and self.is_busy(copy.model)
        ]
        if not copies:
            return _Redistribution(self.late_rate, {}, {})
        # Spread the other models at the same replicas first: their demand may
        # move away from the replicas that change.
        models = dict.fromkeys(
            model
            for copy in copies
            for model in self._models_at.get(copy.replica, ())
        )
        for copy in copies:
            models.pop(copy.model, None)
            models[copy.model] = None
        return self._redistribute(
            self._holders_after(added, removed), tuple(models)
        )

    def _redistribute(
        self,
        holders: Mapping[str, Collection[str]],
        models: Collection[str],
    ) -> _Redistribution:
        """Spread the demand for some models, given the load from all others.

        Two passes let these models adjust to one another.
        """
        draft = _LoadDraft(self._replicas)
        assignments = {
            model: self._assignments.get(model, []) for model in models
        }
        for model in (*models, *models):
            rate_per_share = self._rates[model] / self._busy_shares[model]
            for name, assigned_share in assignments[model]:
                draft.add(
                    name, -assigned_share, -assigned_share * rate_per_share
                )
            assignments[model] = _water_fill(
                self._busy_shares[model],
                holders[model],
                draft.busy_share_of,
            )
            for name, assigned_share in assignments[model]:
                draft.add(name, assigned_share, assigned_share * rate_per_share)
        late_rate = self.late_rate + sum(
            self._missing_penalty(model) * (not assignments[model])
            - self._current_penalty(model)
            for model in models
        )
        return _Redistribution(
            late_rate + draft.late_rate_change(), draft.replicas, assignments
        )

    def _commit(self, change: _Redistribution) -> None:
        self.late_rate = change.late_rate
        self._replicas.update(change.replicas)
        self._assignments.update(change.assignments)

    def _current_penalty(self, model: str) -> float:
        """Return what a model adds to the late rate now; 0 if it has a copy."""
        return (
            0 if self._assignments.get(model) else self._missing_penalty(model)
        )

    def _missing_penalty(self, model: str) -> float:
        return self._rates[model] * _MISSING_WEIGHT

    def _holders_after(
        self,
        added: ModelCopy | None,
        removed: ModelCopy | None,
    ) -> dict[str, tuple[str, ...]]:
        holders = dict(self._holders)
        if added is not None and added.model in holders:
            holders[added.model] = (*holders[added.model], added.replica)
        if removed is not None and removed.model in holders:
            holders[removed.model] = tuple(
                name
                for name in holders[removed.model]
                if name != removed.replica
            )
        return holders


class _LoadDraft:
    """Replica loads during a tentative change.

    ``replicas`` holds the loads that the change has modified; all others are
    read from ``base``, which stays unmodified.
    """

    def __init__(self, base: Mapping[str, _ReplicaLoad]) -> None:
        self.replicas: dict[str, _ReplicaLoad] = {}
        self._base = base

    def add(self, name: str, busy_share: float, rate: float) -> None:
        updated_load = self.replicas.get(name)
        if updated_load is None:
            base_load = self._base.get(name, _ReplicaLoad())
            updated_load = _ReplicaLoad(base_load.busy_share, base_load.rate)
            self.replicas[name] = updated_load
        updated_load.busy_share += busy_share
        updated_load.rate += rate

    def busy_share_of(self, name: str) -> float:
        current_load = self.replicas.get(name) or self._base.get(name)
        return current_load.busy_share if current_load else 0

    def late_rate_change(self) -> float:
        return sum(
            changed_load.late_rate
            - self._base.get(name, _ReplicaLoad()).late_rate
            for name, changed_load in self.replicas.items()
        )


def late_fraction(busy_share: float) -> float:
    """Return the fraction of late requests at a replica.

    ``busy_share`` is the share of the replica's time spent on prefill.
    """
    return min(1, max(0, busy_share / _ALL_LATE_SHARE) ** _LATE_EXPONENT)


def late_weight(busy_share: float) -> float:
    """Return the late requests at a replica, as a fraction of all.

    A request in excess of the replica's capacity counts ``_EXCESS_WEIGHT``
    times, so that another copy helps even if all requests are late with it.
    """
    excess = max(0, 1 - _FULL_SHARE / busy_share) if busy_share > 0 else 0
    return late_fraction(busy_share) + (_EXCESS_WEIGHT - 1) * excess


def _water_fill(
    demand_share: float,
    replica_names: Collection[str],
    busy_share_of: Callable[[str], float],
) -> list[tuple[str, float]]:
    """Divide a demand over replicas by water-filling.

    The least busy replicas are filled first, up to a common level. Returns the
    replicas that take a part, each with the share of its time that this takes.
    """
    if len(replica_names) == 1:
        return [(name, demand_share) for name in replica_names]
    ordered = sorted((busy_share_of(name), name) for name in replica_names)
    filled = 0.0
    level = 0.0
    for count, (current_share, _) in enumerate(ordered):
        if count and level <= current_share:
            break
        filled += current_share
        level = (demand_share + filled) / (count + 1)
    return [
        (name, level - current_share)
        for current_share, name in ordered
        if current_share < level
    ]
