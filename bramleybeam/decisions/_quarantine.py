"""Identifies and quarantines requests that crash upstreams.

Each request that was in flight on an upstream when it crashed becomes a
suspect. How suspects are confirmed depends on what a process sees:

- One that sees all requests in flight runs suspects only alone. A suspect that
  crashes a second upstream while no other request is in flight there is
  quarantined. A request that always crashes its upstream therefore causes only
  two crashes, and the requests that ran with it are only delayed.
- One that sees only its own requests, among those of many other processes,
  counts crashes. They count as independent if the request was sent after the
  crash before, because many upstreams may crash at the same moment for another
  reason. A suspect that finishes is cleared.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from enum import Enum, unique
from typing import Final

import attrs

# Seconds after the last crash at which a quarantine or a suspicion ends.
QUARANTINE_S: Final = 600.0
SUSPICION_S: Final = 600.0
# The same for a quarantine in a process that sees only its own requests, where
# it ends sooner if a trial succeeds.
COUNTED_QUARANTINE_S: Final = 86_400.0
# Seconds after the last crash at which a quarantined request may be tried, and
# the number of failed trials after which it is not tried again.
TRIAL_AFTER_S: Final = 120.0
MAX_TRIALS: Final = 2
# Time in which a trial is expected to end.
_TRIAL_S: Final = 30.0
# Independent crashes that confirm a suspect.
_INDEPENDENT_CRASHES: Final = 3
# Crashes that confirm a suspect if only two of them are independent.
_CRASHES: Final = 5
# Crashes that are kept for a suspect.
_MAX_CRASHES: Final = 8
_MAX_SUSPECTS: Final = 5000


@unique
class Suspicion(Enum):
    """Whether a request may run with others, only alone, or not at all."""

    NONE = 'none'
    ALONE = 'alone'
    QUARANTINED = 'quarantined'


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


@attrs.frozen
class SeesAllRequests:
    """The process sees all requests that are in flight on an upstream."""


@attrs.frozen
class SeesOwnRequests:
    """The process sees only its own requests on an upstream."""


Visibility = SeesAllRequests | SeesOwnRequests


@attrs.define
class Suspect:
    """What is known of one suspect.

    ``crashes`` are in the order in which they were recorded. ``cleared`` are
    the names of crashes that it has not caused, as it has finished since.
    ``changed_at`` is the time of the last news, ``trial_ends_at`` the latest end
    of the current trial, in seconds. ``is_confirmed`` is whether it is
    quarantined.
    """

    crashes: dict[str, Crash] = attrs.field(factory=dict)
    cleared: set[str] = attrs.field(factory=set)
    changed_at: float = 0
    trial_ends_at: float = 0
    is_confirmed: bool = False

    @property
    def last_crash_at(self) -> float:
        """Time of the last crash in seconds, 0 without any."""
        return max((crash.at for crash in self.crashes.values()), default=0)


class SuspectTable:
    """Suspects by key, limited in number and duration.

    If there are too many, the ones least recently in a crash are removed,
    quarantined ones last. Arguments ``now`` are in seconds.
    """

    def __init__(self, visibility: Visibility | None = None) -> None:
        """Start without suspects; by default all requests are seen."""
        self._visibility = visibility or SeesAllRequests()
        self._suspects: OrderedDict[str, Suspect] = OrderedDict()
        self._confirmed: set[str] = set()
        self._crash_count = 0

    def __len__(self) -> int:
        """Return the number of suspects, with cleared ones."""
        return len(self._suspects)

    def __contains__(self, key: str) -> bool:
        """Whether a key is a suspect, or was one and has been cleared."""
        return key in self._suspects

    @property
    def has_quarantined(self) -> bool:
        """Whether any suspect is quarantined."""
        return bool(self._confirmed)

    def suspicion_of(self, key: str, now: float) -> Suspicion:
        """Return how a request may be run at ``now`` seconds."""
        suspect = self._find(key, now)
        if suspect is None or not suspect.crashes:
            return Suspicion.NONE
        if suspect.is_confirmed:
            return Suspicion.QUARANTINED
        return Suspicion.ALONE

    def time_left(self, key: str, now: float) -> float:
        """Return the seconds until a suspicion or quarantine ends, else 0."""
        suspect = self._find(key, now)
        if suspect is None:
            return 0
        return self._expires_at(suspect) - now

    def note_crash(self, keys: Iterable[str], now: float) -> None:
        """Record all requests in flight when an upstream crashed."""
        in_flight = frozenset(keys)
        was_alone = len(in_flight) == 1
        self._crash_count += 1
        crash = Crash(str(self._crash_count), now, now, was_alone)
        for key in in_flight:
            self.add(key, crash, now)

    def add(self, key: str, crash: Crash, now: float) -> bool:
        """Record a crash for one suspect; returns whether that is news.

        Reports of the same crash differ by their delays. The least delayed one,
        with the earliest time, counts.
        """
        suspect = self._find(key, now) or Suspect()
        known = suspect.crashes.get(crash.name)
        if known is not None:
            if crash.at < known.at:
                suspect.crashes[crash.name] = crash
                self._confirm(key, suspect)
            return False
        if crash.name in suspect.cleared:
            # The sender does not know this yet, so that it is told again.
            self._update(key, suspect, now)
            return False
        suspect.crashes[crash.name] = crash
        while len(suspect.crashes) > _MAX_CRASHES:
            suspect.crashes.pop(next(iter(suspect.crashes)))
        self._update(key, suspect, now)
        return True

    def clear(self, key: str, now: float = 0) -> frozenset[str]:
        """Clear a suspect that has finished; returns the crashes dropped.

        A quarantine stays if all requests in flight were seen.
        """
        suspect = self._suspects.get(key)
        if suspect is None or not suspect.crashes:
            return frozenset()
        names = frozenset(suspect.crashes)
        match self._visibility:
            case SeesAllRequests():
                if not suspect.is_confirmed:
                    self._suspects.pop(key)
            case SeesOwnRequests():
                self.learn_cleared(key, names, now)
        return names

    def learn_cleared(
        self, key: str, names: Collection[str], now: float
    ) -> bool:
        """Record crashes that a suspect has not caused.

        Returns whether that is news.
        """
        suspect = self._find(key, now) or Suspect()
        if suspect.cleared.issuperset(names):
            return False
        suspect.cleared.update(names)
        for name in names:
            suspect.crashes.pop(name, None)
        self._update(key, suspect, now)
        return True

    def take_trial(self, key: str, now: float) -> bool:
        """Begin a trial of a quarantined request, if one is due.

        The caller must be the only process that takes trials. There is one
        trial at a time; each that ends in a crash is a new crash.
        """
        suspect = self._find(key, now)
        if suspect is None or now < suspect.trial_ends_at:
            return False
        is_early = now - suspect.last_crash_at < TRIAL_AFTER_S
        if is_early or _count_trials(suspect) >= MAX_TRIALS:
            return False
        suspect.trial_ends_at = now + _TRIAL_S
        return True

    def count_crashes(self, key: str) -> int:
        """Return the number of crashes that are held against a suspect."""
        suspect = self._suspects.get(key)
        return len(suspect.crashes) if suspect else 0

    def list_changed(self, since: float) -> dict[str, Suspect]:
        """Return the suspects with news since a time, the newest first."""
        changed = {}
        for key in reversed(self._suspects):
            suspect = self._suspects[key]
            if suspect.changed_at < since:
                break
            changed[key] = suspect
        return changed

    def list_quarantined(self, now: float) -> dict[str, Suspect]:
        """Return the suspects that are quarantined."""
        quarantined = {}
        for key in tuple(self._confirmed):
            suspect = self._find(key, now)
            if suspect is not None:
                quarantined[key] = suspect
        return quarantined

    def _update(self, key: str, suspect: Suspect, now: float) -> None:
        """Store a suspect of which there is news."""
        suspect.changed_at = now
        self._suspects[key] = suspect
        self._suspects.move_to_end(key)
        self._confirm(key, suspect)
        while len(self._suspects) > _MAX_SUSPECTS:
            self._drop(self._pick_least_important())

    def _confirm(self, key: str, suspect: Suspect) -> None:
        """Decide whether a suspect is quarantined."""
        suspect.is_confirmed = self._must_quarantine(suspect)
        if suspect.is_confirmed:
            self._confirmed.add(key)
        else:
            self._confirmed.discard(key)

    def _drop(self, key: str) -> None:
        self._suspects.pop(key)
        self._confirmed.discard(key)

    def _must_quarantine(self, suspect: Suspect) -> bool:
        crashes = sorted(suspect.crashes.values(), key=lambda crash: crash.at)
        match self._visibility:
            case SeesAllRequests():
                return any(crash.was_alone for crash in crashes[1:])
            case SeesOwnRequests():
                independent = _count_independent(crashes)
                if independent >= _INDEPENDENT_CRASHES:
                    return True
                return independent > 1 and len(crashes) >= _CRASHES

    def _expires_at(self, suspect: Suspect) -> float:
        """Return when a suspect is forgotten, in seconds."""
        if not suspect.is_confirmed:
            return max(suspect.changed_at, suspect.last_crash_at) + SUSPICION_S
        match self._visibility:
            case SeesAllRequests():
                return suspect.last_crash_at + QUARANTINE_S
            case SeesOwnRequests():
                return suspect.last_crash_at + COUNTED_QUARANTINE_S

    def _find(self, key: str, now: float) -> Suspect | None:
        suspect = self._suspects.get(key)
        if suspect is not None and self._expires_at(suspect) <= now:
            self._drop(key)
            return None
        return suspect

    def _pick_least_important(self) -> str:
        """Return the oldest suspect that isn't quarantined, if there is one."""
        for key, suspect in self._suspects.items():
            if not suspect.is_confirmed:
                return key
        return next(iter(self._suspects))


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


def _count_trials(suspect: Suspect) -> int:
    """Return the number of crashes long after the one before."""
    times = sorted(crash.at for crash in suspect.crashes.values())
    return sum(
        later - earlier >= TRIAL_AFTER_S
        for earlier, later in zip(times, times[1:], strict=False)
    )
