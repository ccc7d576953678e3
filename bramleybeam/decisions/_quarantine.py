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

from bramleybeam.decisions._crash_evidence import (
    MAX_TRIALS,
    TRIAL_AFTER_S,
    Crash,
    Suspect,
    are_conclusive,
    count_late_crashes,
    keep_last,
    sort_crashes,
)

# Seconds after the last crash at which a quarantine or a suspicion ends.
QUARANTINE_S: Final = 600.0
SUSPICION_S: Final = 600.0
# The same for a quarantine in a process that sees only its own requests, where
# it ends sooner if a trial succeeds.
COUNTED_QUARANTINE_S: Final = 86_400.0
# Time in which a trial is expected to end.
_TRIAL_S: Final = 10.0
# Crashes that are kept for a suspect, and those that it has not caused.
_MAX_CRASHES: Final = 8
_MAX_CLEARED: Final = 32
_MAX_SUSPECTS: Final = 5000


@unique
class Suspicion(Enum):
    """Whether a request may run with others, only alone, or not at all."""

    NONE = 'none'
    ALONE = 'alone'
    QUARANTINED = 'quarantined'


@attrs.frozen
class SeesAllRequests:
    """The process sees all requests that are in flight on an upstream."""


@attrs.frozen
class SeesOwnRequests:
    """The process sees only its own requests on an upstream."""


Visibility = SeesAllRequests | SeesOwnRequests


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
        self._tried_key = ''
        self._trial_ends_at = float('-inf')

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
        keep_last(suspect.crashes, _MAX_CRASHES)
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

        Returns whether one of them was held against it.
        """
        suspect = self._find(key, now) or Suspect()
        if suspect.cleared.keys() >= set(names):
            return False
        was_held = not suspect.crashes.keys().isdisjoint(names)
        for name in names:
            suspect.cleared[name] = None
            suspect.crashes.pop(name, None)
        keep_last(suspect.cleared, _MAX_CLEARED)
        self._update(key, suspect, now)
        return was_held

    def is_cleared(self, key: str, name: str) -> bool:
        """Whether a suspect is known not to have caused a crash."""
        suspect = self._suspects.get(key)
        return suspect is not None and name in suspect.cleared

    def is_explained(self, key: str, others: Iterable[str]) -> bool:
        """Whether a suspect would not be quarantined without shared crashes.

        These are the crashes that are also held against ``others``.
        """
        shared: set[str] = set()
        for other in others:
            shared.update(self._suspects[other].crashes)
        unshared = [
            crash
            for crash in sort_crashes(self._suspects[key])
            if crash.name not in shared
        ]
        return not are_conclusive(unshared)

    def take_trial(self, key: str, now: float, *, is_ambiguous: bool) -> bool:
        """Begin a trial of a quarantined request, if one is due.

        The caller must be the only process that takes trials. There is one
        trial at a time. ``is_ambiguous`` is whether another suspect has the same
        crashes: a trial tells them apart, and is due at once.
        """
        suspect = self._find(key, now)
        if suspect is None or now < self._trial_ends_at:
            return False
        is_late = now - suspect.last_crash_at >= TRIAL_AFTER_S
        if not is_ambiguous and not is_late:
            return False
        if count_late_crashes(suspect) >= MAX_TRIALS:
            return False
        self._tried_key = key
        self._trial_ends_at = now + _TRIAL_S
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
        if key == self._tried_key:
            self._trial_ends_at = float('-inf')
        self._suspects[key] = suspect
        self._suspects.move_to_end(key)
        self._confirm(key, suspect)
        while len(self._suspects) > _MAX_SUSPECTS:
            self._drop(self._pick_least_important())

    def _confirm(self, key: str, suspect: Suspect) -> None:
        """Decide whether a suspect is quarantined."""
        suspect.is_confirmed = _must_quarantine(self._visibility, suspect)
        if suspect.is_confirmed:
            self._confirmed.add(key)
        else:
            self._confirmed.discard(key)

    def _drop(self, key: str) -> None:
        self._suspects.pop(key)
        self._confirmed.discard(key)

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


def _must_quarantine(visibility: Visibility, suspect: Suspect) -> bool:
    crashes = sort_crashes(suspect)
    match visibility:
        case SeesAllRequests():
            return any(crash.was_alone for crash in crashes[1:])
        case SeesOwnRequests():
            return are_conclusive(crashes)
