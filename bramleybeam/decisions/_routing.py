"""Chooses the upstream with the lowest estimated time to the first token."""

import random
from collections.abc import Sequence
from typing import Final

import attrs

# Number of randomly drawn candidates that are compared.
_SAMPLE_SIZE: Final = 2
# Estimated time to load an adapter that is not ready on the upstream.
_ADAPTER_LOAD_S: Final = 0.05
# Estimated latency of each unit of zone distance.
_ZONE_STEP_S: Final = 0.002
# Time to open a connection.
_CONNECT_S: Final = 0.004
# Delay that is as bad as a failed request.
_FAILURE_COST_S: Final = 1.0
# Duration of an engine step that is assumed until one is reported.
_DEFAULT_STEP_S: Final = 0.01


@attrs.frozen
class Candidate:
    """An upstream that holds the model, with this process's view of it.

    ``in_flight`` is the number of requests in flight: those of this process
    and, according to the last report, those of others. ``limit`` is the
    number of requests that the upstream runs concurrently. Times are in
    seconds. ``zone_distance`` is 0 in the same zone, 1 in the same region and
    2 elsewhere. ``cached_share`` is the estimated share of the prompt in the
    prefix cache, and ``share`` the share of the limit that the work class may
    use. ``step_s`` is the duration of an engine step, ``first_token_s`` the
    time to the first token, of which ``ahead_s`` are work that was there before,
    and ``service_s`` the duration of a whole request.
    ``reported`` is the number in flight according to the last report alone,
    ``failure_share`` the share of recent requests that failed there.
    ``is_connected`` is whether an open connection to it can be used.
    """

    name: str
    in_flight: int
    limit: int
    adapter_ready: bool = True
    zone_distance: int = 0
    cached_share: float = 0
    step_s: float = 0
    first_token_s: float = 0
    ahead_s: float = 0
    service_s: float = 0
    reported: int = 0
    share: float = 1
    failure_share: float = 0
    is_connected: bool = True

    @property
    def has_capacity(self) -> bool:
        """Whether the requests in flight are below the share of the limit."""
        return self.in_flight < self.limit * self.share


def choose_upstream(
    candidates: Sequence[Candidate],
    rng: random.Random,
    sampled: int = _SAMPLE_SIZE,
) -> Candidate | None:
    """Return the best candidate with capacity, or ``None`` if there is none.

    ``sampled`` candidates are drawn at random. The one with the best prefix
    cache is added and, if only some are connected, the best of those. The one
    with the lowest estimate is returned. A small sample prevents that many
    processes with the same stale data all choose the same upstream. Comparing
    all candidates is best with fresh data.
    """
    available = [
        candidate for candidate in candidates if candidate.has_capacity
    ]
    if not available:
        return None
    drawn = rng.sample(available, min(sampled, len(available)))
    best_cached = max(available, key=lambda option: option.cached_share)
    if best_cached.cached_share > 0:
        drawn.append(best_cached)
    connected = [option for option in available if option.is_connected]
    if connected and len(connected) < len(available):
        drawn.append(min(connected, key=estimate_first_token))
    return min(drawn, key=estimate_first_token)


def estimate_first_token(candidate: Candidate) -> float:
    """Return the estimated time to the first token, in seconds."""
    step_s = candidate.step_s or _DEFAULT_STEP_S
    queueing_s = step_s * (1 + candidate.in_flight)
    prefill_s = candidate.first_token_s * (1 - candidate.cached_share)
    adapter_s = 0 if candidate.adapter_ready else _ADAPTER_LOAD_S
    return (
        queueing_s
        + prefill_s
        + adapter_s
        + _ZONE_STEP_S * candidate.zone_distance
        + _FAILURE_COST_S * candidate.failure_share
        + _CONNECT_S * (not candidate.is_connected)
    )
