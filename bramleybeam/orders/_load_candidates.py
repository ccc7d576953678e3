"""Ranks the models that are candidates for a load.

Handles this load: many rare models share a low rate of latency-tolerant
requests, and there is always another model that more requests wait for.
Ranked by gain alone, a rare model might never be loaded; a model that has been
unserved for too long is therefore ranked by its unserved time.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Final

import attrs

from bramleybeam.orders._ranking import rank_by_amount

# Seconds without being served after which a model is overdue, and ranked by
# that time.
_OVERDUE_S: Final = 4.0


@attrs.frozen
class LoadCandidate:
    """The benefit of loading a model, and the cost up to which to load it.

    ``gain`` and ``max_cost`` are in requests; the model is loaded only where
    the cost is below ``max_cost``. ``unserved_s`` is how many seconds its
    requests have gone unserved.
    """

    gain: float
    max_cost: float = float('inf')
    unserved_s: float = 0

    @property
    def is_overdue(self) -> bool:
        """Whether the model is ranked by unserved time rather than by gain."""
        return self.unserved_s >= _OVERDUE_S


def rank_candidates(
    candidates: Mapping[str, LoadCandidate],
    is_latency_tolerant: Callable[[str], bool],
) -> list[str]:
    """Return the models in the order in which to load them.

    Overdue models are sorted by descending unserved time, the others by
    descending gain. Overdue models with urgent requests come first, then the
    one latency-tolerant model that has been overdue for longest, then the other
    models with urgent requests. The remaining latency-tolerant models come
    last, overdue ones first.
    """
    overdue_times = {
        model: candidate.unserved_s
        for model, candidate in candidates.items()
        if candidate.is_overdue
    }
    gains = {
        model: candidate.gain
        for model, candidate in candidates.items()
        if not candidate.is_overdue
    }
    urgent_overdue, tolerant_overdue = _split_by_urgency(
        rank_by_amount(overdue_times), is_latency_tolerant
    )
    urgent, tolerant = _split_by_urgency(
        rank_by_amount(gains), is_latency_tolerant
    )
    return [
        *urgent_overdue,
        *tolerant_overdue[:1],
        *urgent,
        *tolerant_overdue[1:],
        *tolerant,
    ]


def _split_by_urgency(
    models: Sequence[str],
    is_latency_tolerant: Callable[[str], bool],
) -> tuple[list[str], list[str]]:
    """Return the urgent models and the latency-tolerant models, in order."""
    urgent = [model for model in models if not is_latency_tolerant(model)]
    return urgent, [model for model in models if is_latency_tolerant(model)]
