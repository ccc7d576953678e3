"""Orders the models that are wanted: by what it helps, or by their age.

Answers this load: many rare models share a trickle of patient requests, and
there is always another that more requests wait for.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Final

import attrs

from bramleybeam.orders._ranking import most_first

# Time for which a model is asked for in vain until its turn comes by its age.
_OVERDUE_S: Final = 4.0


@attrs.frozen
class LoadCandidate:
    """A model to bring in, if it costs less than ``most_cost``.

    ``unserved_s`` tells for how long requests have asked for it in vain.
    """

    gain: float
    most_cost: float = float('inf')
    unserved_s: float = 0

    @property
    def is_overdue(self) -> bool:
        """Whether its turn comes by its age."""
        return self.unserved_s >= _OVERDUE_S


def rank_candidates(
    candidates: Mapping[str, LoadCandidate],
    is_latency_tolerant: Callable[[str], bool],
) -> list[str]:
    """Order what is wanted: by gain, but what is overdue by its age.

    What is overdue goes first; of what only patient requests ask for, the
    oldest does, and the others come after what is urgent.
    """
    ages = {
        model: candidate.unserved_s
        for model, candidate in candidates.items()
        if candidate.is_overdue
    }
    gains = {
        model: candidate.gain
        for model, candidate in candidates.items()
        if not candidate.is_overdue
    }
    urgent_overdue, tolerant_overdue = _split(
        most_first(ages), is_latency_tolerant
    )
    urgent, tolerant = _split(most_first(gains), is_latency_tolerant)
    return [
        *urgent_overdue,
        *tolerant_overdue[:1],
        *urgent,
        *tolerant_overdue[1:],
        *tolerant,
    ]


def _split(
    models: Sequence[str],
    is_latency_tolerant: Callable[[str], bool],
) -> tuple[list[str], list[str]]:
    """Part the models that urgent requests ask for from the others."""
    urgent = [model for model in models if not is_latency_tolerant(model)]
    return urgent, [model for model in models if is_latency_tolerant(model)]
