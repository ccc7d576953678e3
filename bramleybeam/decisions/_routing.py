"""Chooses the upstream of a request from what is known of each."""

import random
from collections.abc import Sequence
from typing import Final

import attrs

_SAMPLED: Final = 2
_ADAPTER_LOAD_S: Final = 0.05
_ZONE_STEP_S: Final = 0.002
_DEFAULT_STEP_S: Final = 0.01


@attrs.frozen
class Candidate:
    """An upstream that holds the model, as this entry sees it.

    ``in_flight`` is the entry's own requests plus others' by the last report;
    Times are in seconds; ``zone_distance`` is 0 in the
    same zone, 1 in the same region and 2 elsewhere; ``cached_share`` is the
    part of the prompt that its prefix cache is believed to hold, ``share`` the
    part of the limit that the class of work may fill, ``service_s`` the time
    that its requests take as a whole, ``reported`` the last report's figure.
    """

    name: str
    in_flight: int
    limit: int
    adapter_ready: bool = True
    zone_distance: int = 0
    cached_share: float = 0
    step_s: float = 0
    first_token_s: float = 0
    service_s: float = 0
    reported: int = 0
    share: float = 1

    @property
    def has_room(self) -> bool:
        """Whether it is believed to be under the share that may be filled."""
        return self.in_flight < self.limit * self.share


def choose_upstream(
    candidates: Sequence[Candidate],
    rng: random.Random,
    sampled: int = _SAMPLED,
) -> Candidate | None:
    """Choose among candidates with room; ``None`` when there are none.

    ``sampled`` are drawn at random, and the one with the best prefix cache
    joins them; the lowest estimate wins. Drawing few keeps many entries with
    the same stale figures from all choosing the same upstream; drawing all
    is best where figures are fresh.
    """
    open_ones = [candidate for candidate in candidates if candidate.has_room]
    if not open_ones:
        return None
    drawn = rng.sample(open_ones, min(sampled, len(open_ones)))
    best_cached = max(open_ones, key=lambda one: one.cached_share)
    if best_cached.cached_share > 0:
        drawn.append(best_cached)
    return min(drawn, key=estimate_first_token)


def estimate_first_token(candidate: Candidate) -> float:
    """Estimate the time to the first token, in seconds."""
    step_s = candidate.step_s or _DEFAULT_STEP_S
    waiting = step_s * (1 + candidate.in_flight)
    prefill = candidate.first_token_s * (1 - candidate.cached_share)
    adapter = 0 if candidate.adapter_ready else _ADAPTER_LOAD_S
    return waiting + prefill + adapter + _ZONE_STEP_S * candidate.zone_distance
