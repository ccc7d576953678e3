"""The age of a gateway's keys.

A gateway knows a moment of its own clock at which no newer configuration than its
own was in the store. The age of its keys is the time since then. The moment comes
from calls to the store and from neighbours. A neighbour echoes a timestamp of this
gateway's clock with its own age at the time when the timestamp arrived; since that
was after it was sent, the timestamp less the age is never too late, however long
the messages took.
"""

import math
import secrets
from collections.abc import Callable
from typing import Final

import attrs

# The store's watch may miss changes for this long before it is disconnected.
_WATCH_BLINDNESS_S: Final = 1.0
# Part of the limit that is kept for late timers and for clocks of different rates.
_TIMER_MARGIN_S: Final = 0.25
_MS: Final = 1000
# Range of the random origin of timestamps. An echo for an earlier start of the
# process or the host, whose clock may have begun anew, is then out of range.
_ORIGIN_RANGE: Final = 1 << 48


def max_key_age_s(revocation_s: float | None) -> float | None:
    """Return the age from which on keys are not served; ``None`` for no limit.

    ``revocation_s`` is the time in which a removed key must stop to work.

    >>> max_key_age_s(5)
    3.75
    """
    if revocation_s is None:
        return None
    return max(0.0, revocation_s - _WATCH_BLINDNESS_S - _TIMER_MARGIN_S)


@attrs.frozen
class StampEcho:
    """A timestamp of the receiver, returned by its neighbour.

    ``age_ms`` is the age of the neighbour's keys at the time when the timestamp
    arrived there, negative if it has learned more since.
    """

    stamp: int
    age_ms: int


@attrs.frozen
class KeyReport:
    """What a gateway tells a neighbour about its keys.

    ``stamp`` is the sender's clock, for the neighbour to echo, and ``version``
    that of the configuration in force.
    """

    stamp: int
    version: int
    echo: StampEcho | None = None


@attrs.frozen
class KeyRead:
    """A call to the store: when it was sent, and what was known then.

    ``newest_version`` is the newest version of the configuration that any
    gateway had, ``revision`` the newest revision that was read here.
    """

    sent_at: float
    newest_version: int
    revision: int


@attrs.frozen
class _ReceivedStamp:
    stamp: int
    arrived_at: float


class KeyAge:
    """The age of one gateway's keys.

    ``clock`` returns seconds and includes suspension of the host. Without
    ``max_age_s`` the age is not limited and nothing is told to neighbours.
    ``has_keys`` is whether the configuration in force requires keys, and
    ``is_readable`` whether the newest one could be decoded: one that could not
    may have removed keys. ``source`` is ``store`` or the address of the neighbour
    that showed last that the keys are current.
    """

    def __init__(
        self, clock: Callable[[], float], max_age_s: float | None = None
    ) -> None:
        """Create the state of a gateway that has no configuration."""
        self.max_age_s = max_age_s
        self.version = 0
        self.has_keys = True
        self.is_readable = True
        self.source = ''
        self._clock = clock
        self._started_at = clock()
        self._origin = secrets.randbelow(_ORIGIN_RANGE)
        self._current_at = -math.inf
        self._stamps: dict[str, _ReceivedStamp] = {}

    @property
    def is_limited(self) -> bool:
        """Whether there are keys, and old ones are refused."""
        return self.has_keys and self.max_age_s is not None

    @property
    def age_s(self) -> float:
        """Seconds since the keys were known to be current."""
        return self._clock() - self._current_at

    @property
    def is_current(self) -> bool:
        """Whether keys may be served."""
        return self.max_age_s is None or self.age_s < self.max_age_s

    def describe(self) -> dict[str, float | None]:
        """Return the age as a log field; no field if it is not limited."""
        if not self.is_limited:
            return {}
        known = self._current_at > -math.inf
        return {'key_age_s': round(self.age_s, 3) if known else None}

    def begin_read(self, newest_version: int, revision: int) -> KeyRead:
        """Return the record of a call to the store that is about to be sent."""
        return KeyRead(self._clock(), newest_version, revision)

    def note_read(self, read: KeyRead, revision: int) -> None:
        """Record an answer, after the configuration in it is in force.

        ``revision`` is that of the answer. An answer without what was known
        when the call was sent is stale, and shows nothing.
        """
        is_stale = (
            revision < read.revision or self.version < read.newest_version
        )
        if self.is_readable and not is_stale:
            self._raise(read.sent_at, 'store')

    def make_report(self, neighbour: str) -> KeyReport | None:
        """Return what a message to a neighbour contains; ``None`` if nothing.

        The newest timestamp of the neighbour is echoed in each message, because
        the age at its arrival falls whenever the keys are found current again.
        """
        if not self.is_limited:
            return None
        received = self._stamps.get(neighbour)
        echo = None
        if received is not None and self._current_at > -math.inf:
            age_s = received.arrived_at - self._current_at
            echo = StampEcho(received.stamp, math.ceil(age_s * _MS))
        stamp = math.floor(self._clock() * _MS) + self._origin
        return KeyReport(stamp, self.version, echo)

    def learn(self, report: KeyReport | None, neighbour: str) -> None:
        """Record what a neighbour has reported."""
        if report is None or not self.is_limited:
            return
        self._stamps[neighbour] = _ReceivedStamp(report.stamp, self._clock())
        if report.echo is None or report.version != self.version:
            return
        echo = report.echo
        stamped_at = (echo.stamp - self._origin) / _MS
        # One millisecond covers the rounding of the first timestamp.
        is_own = self._started_at - 1 / _MS <= stamped_at <= self._clock()
        current_at = stamped_at - echo.age_ms / _MS
        if is_own and current_at <= self._clock():
            self._raise(current_at, neighbour)

    def forget(self, neighbour: str) -> None:
        """Forget the timestamp of a gateway that is no neighbour now."""
        self._stamps.pop(neighbour, None)

    def _raise(self, current_at: float, source: str) -> None:
        """Raise the moment at which the keys were current, never lower it."""
        if current_at > self._current_at:
            self._current_at = current_at
            self.source = source
