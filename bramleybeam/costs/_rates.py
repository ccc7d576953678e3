"""Rates of work, learned from single samples and forgotten when unused.

Handles this load: models whose speed differs by a factor of eight, on replicas
that differ as well. A fixed rate sends to slow ones what fast ones could do.
"""

from collections import OrderedDict
from collections.abc import Hashable
from typing import Final

import attrs

# Prompt tokens that an engine processes in a second, until samples are known.
DEFAULT_PROMPT_RATE: Final = 16_000.0
# Weights of a new sample, by how specific a key is. Specific keys have few
# samples, and follow a change of their replica sooner.
_SPECIFIC_WEIGHT: Final = 0.3
_GENERAL_WEIGHT: Final = 0.1
# Factor by which a rate may differ from the default. Samples outside of it are
# measured while something else held up the replica.
_MAX_DEVIATION: Final = 16.0
# Keys that are remembered; the least recently sampled one is dropped.
_MAX_KEYS: Final = 4096


@attrs.define
class LearnedRates:
    """Averages of rates by key, most specific key first.

    A rate is found by the first of some keys that has one. The averages are
    geometric, so that one sample that is too slow by some factor counts as much
    as one that is too fast by it.

    >>> rates = LearnedRates(default=100)
    >>> rates.learn(('replica', 'model'), 200)
    >>> rates.find(('other', 'model')) > 100
    True
    """

    default: float = DEFAULT_PROMPT_RATE
    _rates: OrderedDict[Hashable, float] = attrs.field(
        init=False, factory=OrderedDict
    )

    def find(self, keys: tuple[Hashable, ...]) -> float:
        """Return the rate of the first key that has one, else the default."""
        known = (self._rates.get(key) for key in _generalise(keys))
        return next((rate for rate in known if rate is not None), self.default)

    def learn(self, keys: tuple[Hashable, ...], sample: float) -> None:
        """Average a sample into the rate of each key."""
        lowest = self.default / _MAX_DEVIATION
        bounded = min(max(sample, lowest), self.default * _MAX_DEVIATION)
        for key in _generalise(keys):
            weight = _SPECIFIC_WEIGHT if key == keys else _GENERAL_WEIGHT
            known = self.find(key)
            self._rates[key] = known * (bounded / known) ** weight
            self._rates.move_to_end(key)
        while len(self._rates) > _MAX_KEYS:
            self._rates.popitem(last=False)


def _generalise(keys: tuple[Hashable, ...]) -> list[tuple[Hashable, ...]]:
    """Return the keys, and then the same without the first ones."""
    return [keys[position:] for position, _ in enumerate(keys)]
