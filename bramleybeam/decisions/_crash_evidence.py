"""The crashes held against one suspect, and what they prove."""

from collections.abc import Iterable, Sequence
from typing import Any, Final

import attrs

# Seconds after the last crash at which a quarantined request may be tried, and
# the number of failed trials after which it is not tried again.
TRIAL_AFTER_S: Final = 120.0
MAX_TRIALS: Final = 1
# Independent crashes that confirm a suspect.
_INDEPENDENT_CRASHES: Final = 3
# Crashes that confirm a suspect if only two of them are independent.
_CRASHES: Final = 5


@attrs.frozen
class Crash:
    """A crash of an upstream on which a suspect was in flight.

    ``name`` identifies the crash. The suspect was sent at ``sent_at`` and the
    upstream crashed at ``at``, in seconds. ``was_alone`` is whether no other
    request was in flight.
    """

    name: str
    sent_at: float
    at: float
    was_alone: bool = False


@attrs.define
class Suspect:
    """What is known of one suspect.

    ``crashes`` are in the order in which they were recorded. ``cleared`` are
    the names of the last crashes that it has not caused, as it has finished since.
    ``changed_at`` is the time of the last news in seconds, ``is_confirmed`` whether
    it is quarantined.
    """

    crashes: dict[str, Crash] = attrs.field(factory=dict)
    cleared: dict[str, None] = attrs.field(factory=dict)
    changed_at: float = 0
    is_confirmed: bool = False

    @property
    def last_crash_at(self) -> float:
        """Time of the last crash in seconds, 0 without any."""
        return max((crash.at for crash in self.crashes.values()), default=0)


def keep_last(entries: dict[str, Any], count: int) -> None:
    """Drop the entries that were added first."""
    while len(entries) > count:
        entries.pop(next(iter(entries)))


def sort_crashes(suspect: Suspect) -> list[Crash]:
    """Return the crashes of a suspect in the order of their times."""
    return sorted(suspect.crashes.values(), key=lambda crash: crash.at)


def are_conclusive(crashes: Sequence[Crash]) -> bool:
    """Whether crashes, in the order of their times, confirm a suspect."""
    independent = _count_independent(crashes)
    if independent >= _INDEPENDENT_CRASHES:
        return True
    return independent > 1 and len(crashes) >= _CRASHES


def _count_independent(crashes: Iterable[Crash]) -> int:
    """Return the most crashes of which each request followed the last crash.

    ``crashes`` are in the order of their times.
    """
    count = 0
    last_crash_at = float('-inf')
    for crash in crashes:
        if crash.sent_at >= last_crash_at:
            count += 1
            last_crash_at = crash.at
    return count


def count_late_crashes(suspect: Suspect) -> int:
    """Return the number of crashes long after those that confirmed it."""
    crashes = sort_crashes(suspect)
    return sum(
        crash.at - crashes[number].at >= TRIAL_AFTER_S
        and are_conclusive(crashes[: number + 1])
        for number, crash in enumerate(crashes[1:])
    )
