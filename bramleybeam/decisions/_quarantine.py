"""Identifies and quarantines requests that crash upstreams.

All requests in flight on an upstream that crashes become suspects, which are
run again only alone. A suspect that crashes a second upstream while no other
request is in flight there is quarantined; a suspect that finishes is cleared.
A request that always crashes its upstream therefore causes only two crashes,
and the requests that ran with it are only delayed.
"""

from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum, unique
from typing import Final

import attrs

# Seconds after the last crash at which a quarantine or a suspicion ends.
QUARANTINE_S: Final = 600.0
SUSPICION_S: Final = 600.0
_MAX_SUSPECTS: Final = 5000


@unique
class Suspicion(Enum):
    """Whether a request may run with others, only alone, or not at all."""

    NONE = 'none'
    ALONE = 'alone'
    QUARANTINED = 'quarantined'


@attrs.frozen
class _Suspect:
    crashes: int
    expires_at: float
    quarantined: bool = False


class SuspectTable:
    """Suspects by fingerprint, limited in number and duration.

    If there are too many, the ones least recently in a crash are removed.
    """

    def __init__(self) -> None:
        """Start without suspects."""
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of suspects."""
        return len(self._suspects)

    def suspicion_of(self, fingerprint: str, now: float) -> Suspicion:
        """Return how a request may be run at ``now`` seconds."""
        suspect = self._find(fingerprint, now)
        if suspect is None:
            return Suspicion.NONE
        if suspect.quarantined:
            return Suspicion.QUARANTINED
        return Suspicion.ALONE

    def time_left(self, fingerprint: str, now: float) -> float:
        """Return the seconds until a suspicion or quarantine ends, else 0."""
        suspect = self._find(fingerprint, now)
        if suspect is None:
            return 0
        return suspect.expires_at - now

    def note_crash(self, fingerprints: Iterable[str], now: float) -> None:
        """Record the requests that were in flight when an upstream crashed."""
        in_flight = frozenset(fingerprints)
        was_alone = len(in_flight) == 1
        for fingerprint in in_flight:
            entry = self._find(fingerprint, now)
            previous_crashes = entry.crashes if entry else 0
            crashes = previous_crashes + 1
            must_quarantine = was_alone and crashes > 1
            duration_s = QUARANTINE_S if must_quarantine else SUSPICION_S
            self._suspects[fingerprint] = _Suspect(
                crashes,
                now + duration_s,
                must_quarantine or (entry is not None and entry.quarantined),
            )
            self._suspects.move_to_end(fingerprint)
        while len(self._suspects) > _MAX_SUSPECTS:
            self._suspects.popitem(last=False)

    def clear(self, fingerprint: str) -> None:
        """Remove the suspicion of a request that has finished.

        A quarantine stays.
        """
        entry = self._suspects.get(fingerprint)
        if entry is not None and not entry.quarantined:
            self._suspects.pop(fingerprint)

    def _find(self, fingerprint: str, now: float) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.expires_at <= now:
            self._suspects.pop(fingerprint)
            return None
        return suspect
