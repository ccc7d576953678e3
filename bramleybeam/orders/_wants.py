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
class ModelWant:
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


def rank_wants(
    wants: Mapping[str, ModelWant],
    is_patient: Callable[[str], bool],
) -> list[str]:
    """Order what is wanted: by gain, but what is overdue by its age.

    What is overdue goes first; of what only patient requests ask for, the
    oldest does, and the others come after what is urgent.
    """
    ages = {
        model: want.unserved_s
        for model, want in wants.items()
        if want.is_overdue
    }
    gains = {
        model: want.gain for model, want in wants.items() if not want.is_overdue
    }
    urgent_overdue, patient_overdue = _split(most_first(ages), is_patient)
    urgent, patient = _split(most_first(gains), is_patient)
    return [
        *urgent_overdue,
        *patient_overdue[:1],
        *urgent,
        *patient_overdue[1:],
        *patient,
    ]


def _split(
    models: Sequence[str],
    is_patient: Callable[[str], bool],
) -> tuple[list[str], list[str]]:
    """Part the models that urgent requests ask for from the others."""
    urgent = [model for model in models if not is_patient(model)]
    return urgent, [model for model in models if is_patient(model)]
