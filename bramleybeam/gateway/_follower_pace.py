"""How often a gateway reads the changes in the store.

Each call to the store has a price, and all calls together are limited, while
every gateway needs the changes. Most of them can wait: what may not is passed on
over the tree. Only the planner and its deputies, one of which succeeds it, read
each change as soon as it happens. The others read several changes at a time. They
meet the time bounds of the deployment on their own, and read more often when the
tree is broken, so that a call that fails can be repeated in time.

Where the age of callers' keys is limited, it counts from when a call was sent. Two
calls and the wait between them take less than half of the limit.
"""

import math

from typing import Final

import attrs

from bramleybeam.catalog import TimeBounds
from bramleybeam.workspaces import max_key_age_s

# Longest wait of one watch call in seconds, so that a dead connection is
# detected soon.
WATCH_TIMEOUT_S: Final = 1.0
# Wait in seconds between two calls of the planner and of its deputies, so that
# changes that arrive together are read by one call.
PLANNER_BATCH_DELAY_S: Final = 0.03
NEAR_BATCH_DELAY_S: Final = 0.3
# Share of the shortest time bound that another gateway waits between two calls.
# The rest is for the call itself, its repetition and slow links.
_BOUND_SHARE: Final = 0.4
# The same while its parent in the tree passes on what can't wait. The rest is
# for one call.
_RELAYED_BOUND_SHARE: Final = 0.6
# Time in seconds that a call takes at the most while the store is sound.
CALL_MARGIN_S: Final = 0.7
# Share of the limit on the age of keys that the age reaches in normal operation,
# so that one call that is not answered does not exceed the limit.
_KEY_AGE_SHARE: Final = 0.5
# Time in seconds that two calls usually take beside the wait of the watch.
_TWO_CALLS_S: Final = 0.2
# Share of the rest that is the wait between two calls. A longer wait makes fewer
# calls, a longer watch reads a change sooner.
_KEY_DELAY_SHARE: Final = 0.8
# Shortest wait between two calls and shortest watch, whatever the limit is.
_MIN_DELAY_S: Final = 0.05


@attrs.frozen
class FollowerPace:
    """The batching of changes; times are in seconds.

    ``batch_delay_s`` is the wait between two calls of a gateway that is not a
    deputy of the planner, ``relayed_delay_s`` the same while its parent in the
    tree responds. ``key_interval_s`` is the longest time for the watches of two
    calls and the wait between them. ``max_configuration_age_s`` is how long after
    it was read a configuration may decide anything while the store answers.
    """

    batch_delay_s: float = NEAR_BATCH_DELAY_S
    relayed_delay_s: float = NEAR_BATCH_DELAY_S
    key_interval_s: float = math.inf
    max_configuration_age_s: float = math.inf

    @property
    def near_delay_s(self) -> float:
        """Wait between two calls of a deputy of the planner."""
        return min(NEAR_BATCH_DELAY_S, self.batch_delay_s)

    def watch_timeout_s(self, delay_s: float) -> float:
        """Return the longest wait of a watch call.

        ``delay_s`` is the wait between two calls.
        """
        longest_s = (self.key_interval_s - delay_s) / 2
        return min(WATCH_TIMEOUT_S, max(_MIN_DELAY_S, longest_s))

    @property
    def max_lag_s(self) -> float:
        """Time for which a change that peers have read may be missing."""
        return self.relayed_delay_s + CALL_MARGIN_S

    @property
    def max_fresh_age_s(self) -> float:
        """Largest age of the last sync in normal operation."""
        return self.relayed_delay_s + WATCH_TIMEOUT_S + CALL_MARGIN_S


DEFAULT_PACE: Final = FollowerPace()


def make_pace(bounds: TimeBounds) -> FollowerPace:
    """Return the pace that meets the bounds of a deployment."""
    shortest_s = min(bounds.drain_s, bounds.configuration_s)
    interval_s = _key_interval_s(bounds)
    longest_s = max(_MIN_DELAY_S, _KEY_DELAY_SHARE * interval_s)
    return FollowerPace(
        min(longest_s, max(NEAR_BATCH_DELAY_S, _BOUND_SHARE * shortest_s)),
        min(
            longest_s,
            max(NEAR_BATCH_DELAY_S, _RELAYED_BOUND_SHARE * shortest_s),
        ),
        interval_s,
        bounds.configuration_s,
    )


def _key_interval_s(bounds: TimeBounds) -> float:
    max_age_s = max_key_age_s(bounds.revocation_s)
    if max_age_s is None:
        return math.inf
    return max(0.0, _KEY_AGE_SHARE * max_age_s - _TWO_CALLS_S)
