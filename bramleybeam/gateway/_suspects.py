"""Requests that crash replicas, as far as all gateways together know.

Handles this load: a request crashes each replica that runs it, and comes again
under new ids at any gateway; or requests that are otherwise unlike have a part of
their prompts in common that does. Each gateway sees few of the crashes, so that
all of them exchange what they have seen, and decide by the same rule.
"""

from collections.abc import Callable, Collection, Iterable, Sequence
from types import MappingProxyType
from typing import Final

import attrs
import structlog

from bramleybeam.decisions import (
    Crash,
    SeesOwnRequests,
    Suspect,
    SuspectTable,
    Suspicion,
)
from bramleybeam.errors import ErrorKind, Refusal, refuse
from bramleybeam.gateway._job import Job, SuspectKind
from bramleybeam.gateway._sound_keys import SoundKeys
from bramleybeam.gateway._suspect_report import (
    SuspectCrash,
    SuspectReport,
    make_report,
)

# Retry-After of a request that is held back.
_RETRY_AFTER_S: Final = 120.0
# Time for which a change is in the report to neighbours.
_REPORT_S: Final = 6.0
# Most recent and most quarantined suspects in one report.
_MAX_REPORTED: Final = 32
# Kinds of suspects and how specific each is.
_KINDS: Final = MappingProxyType(
    {kind.value: rank for rank, kind in enumerate(SuspectKind)}
)
_log = structlog.get_logger('suspects')


@attrs.frozen
class LostRequest:
    """A request that was in flight when a replica may have crashed.

    ``keys`` are the suspects that may have caused the crash. The request was
    sent at ``sent_at``, and its connection ended at ``lost_at``, in seconds.
    """

    request_id: str
    keys: tuple[str, ...]
    sent_at: float
    lost_at: float


class CrashSuspects:
    """The suspects of crashes; ``clock`` returns seconds.

    The callbacks in ``on_news`` are called with what neighbours don't know yet,
    those in ``on_quarantined`` when further requests are to be refused.
    ``may_try`` returns whether this gateway is the planner, the only one that
    tries quarantined requests again.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without suspects."""
        self.on_news: list[Callable[[SuspectReport], None]] = []
        self.on_quarantined: list[Callable[[], None]] = []
        self.may_try: Callable[[], bool] = _never
        self._clock = clock
        self._reported: dict[str, int] = {}
        self._table = SuspectTable(SeesOwnRequests())
        self._sound = SoundKeys()

    def note_crash(
        self, crash_name: str, lost_requests: Iterable[LostRequest]
    ) -> None:
        """Record the requests that were in flight when a replica crashed."""
        now = self._clock()
        crashes = {
            key: [
                SuspectCrash(
                    crash_name, now - lost.lost_at, lost.lost_at - lost.sent_at
                )
            ]
            for lost in lost_requests
            for key in lost.keys
            if not self._sound.is_sound(key, now)
        }
        self.learn(SuspectReport(crashes), 'own requests')

    def note_sound(self, job: Job) -> None:
        """Record that a request was answered completely."""
        now = self._clock()
        self._sound.note(job.suspect_keys, now)
        if not self._table:
            return
        suspected = [key for key in job.suspect_keys if key in self._table]
        cleared = {key: tuple(self._table.clear(key, now)) for key in suspected}
        news = {key: names for key, names in cleared.items() if names}
        if news:
            _log.info('suspects_cleared', keys=list(news))
            self._publish(SuspectReport(cleared=news))

    def find_refusal(self, job: Job) -> Refusal | None:
        """Return the refusal of a request that is quarantined, else ``None``.

        The request may be admitted as a trial, for one attempt.
        """
        if job.is_trial or not self._table.has_quarantined:
            return None
        now = self._clock()
        quarantined = sorted(self._list_quarantined(job.suspect_keys, now))
        if not quarantined:
            return None
        if len(quarantined) == 1 and self._take_trial(quarantined[0], now):
            job.is_trial = True
            _log.info(
                'suspect_tried',
                request=job.facts.request_id,
                keys=quarantined,
            )
            return None
        return refuse(
            ErrorKind.CRASH_SUSPECTED,
            ', '.join(quarantined),
            retry_after=_RETRY_AFTER_S,
        )

    def learn(self, report: SuspectReport, source: str) -> None:
        """Record what a neighbour or this gateway has seen.

        What is new here is passed on. ``source`` is for the log.
        """
        now = self._clock()
        cleared = {
            key: names
            for key, names in report.cleared.items()
            if self._table.learn_cleared(key, names, now)
        }
        cleared.update(self._contradict(report, now))
        was_confirmed = self._list_confirmed(report.crashes, now)
        added = {
            key: self._add_crashes(key, rows, now)
            for key, rows in report.crashes.items()
        }
        crashes = {key: rows for key, rows in added.items() if rows}
        news = SuspectReport(crashes, cleared)
        if news:
            self._publish(news)
        confirmed = self._list_confirmed(report.crashes, now)
        self._note_confirmed(confirmed - was_confirmed, source, now)

    def report_for(self, neighbour: str) -> SuspectReport:
        """Return what is sent to a neighbour repeatedly.

        These are what has changed lately and the quarantined suspects, in turn.
        """
        now = self._clock()
        recent = list(self._table.list_changed(now - _REPORT_S).items())
        quarantined = list(self._table.list_quarantined(now).items())
        start = self._reported.get(neighbour, 0) % max(1, len(quarantined))
        self._reported[neighbour] = start + _MAX_REPORTED
        in_turn = quarantined[start:] + quarantined[:start]
        chosen = recent[:_MAX_REPORTED] + in_turn[:_MAX_REPORTED]
        return make_report(dict(chosen), now)

    def forget(self, neighbour: str) -> None:
        """Drop what was reported to a gateway that is no neighbour now."""
        self._reported.pop(neighbour, None)

    def report_quarantined(self) -> SuspectReport:
        """Return all quarantined suspects."""
        now = self._clock()
        return make_report(self._table.list_quarantined(now), now)

    def count_quarantined(self) -> int:
        """Return the number of quarantined suspects."""
        return len(self._table.list_quarantined(self._clock()))

    def is_suspect(self, key: str) -> bool:
        """Whether any crash is held against a key."""
        return bool(self.count_crashes(key))

    def count_crashes(self, key: str) -> int:
        """Return the number of crashes that are held against a suspect."""
        return self._table.count_crashes(key)

    def _contradict(
        self, report: SuspectReport, now: float
    ) -> dict[str, Sequence[str]]:
        """Clear what a neighbour suspects and was answered here of late.

        Returns the names of the crashes, which the neighbour has to know.
        """
        contradicted: dict[str, Sequence[str]] = {}
        for key, rows in report.crashes.items():
            names = [
                row.name
                for row in rows
                if not self._table.is_cleared(key, row.name)
            ]
            if names and self._sound.is_sound(key, now):
                self._table.learn_cleared(key, names, now)
                contradicted[key] = names
        return contradicted

    def _add_crashes(
        self, key: str, rows: Iterable[SuspectCrash], now: float
    ) -> list[SuspectCrash]:
        """Record crashes of a suspect and return those that are new."""
        news = []
        for row in rows:
            at = now - row.age_s
            crash = Crash(row.name, at - row.in_flight_s, at)
            if self._table.add(key, crash, now):
                news.append(row)
        return news

    def _list_quarantined(self, keys: Iterable[str], now: float) -> set[str]:
        """Return those of the keys that are quarantined, and not explained."""
        confirmed = self._list_confirmed(keys, now)
        return {key for key in confirmed if not self._is_explained(key, now)}

    def _list_confirmed(self, keys: Iterable[str], now: float) -> set[str]:
        return {
            key
            for key in keys
            if self._table.suspicion_of(key, now) == Suspicion.QUARANTINED
        }

    def _is_explained(self, key: str, now: float) -> bool:
        """Whether other suspects explain the crashes of a suspect.

        While nothing is answered, the part that all requests of a route share is
        in flight at each crash that a later part causes. A suspect of the same
        kind explains them if more crashes are held against it.
        """
        more_specific = [
            other
            for other in self._table.list_quarantined(now)
            if _specificity(other) > _specificity(key)
        ]
        if self._table.is_explained(key, more_specific):
            return True
        count = self.count_crashes(key)
        return any(
            self.count_crashes(rival) > count
            for rival in self._list_rivals(key, now)
        )

    def _list_rivals(self, key: str, now: float) -> list[str]:
        """Return suspects of the same kind that may have caused its crashes."""
        return [
            other
            for other in self._table.list_quarantined(now)
            if other != key
            and _specificity(other) == _specificity(key)
            and self._table.is_explained(key, (other,))
        ]

    def _take_trial(self, key: str, now: float) -> bool:
        """Begin a trial if this gateway may and one is due."""
        count = self.count_crashes(key)
        is_ambiguous = any(
            self.count_crashes(rival) == count
            for rival in self._list_rivals(key, now)
        )
        return self.may_try() and self._table.take_trial(
            key, now, is_ambiguous=is_ambiguous
        )

    def _note_confirmed(
        self, keys: Collection[str], source: str, now: float
    ) -> None:
        """Log new quarantines, and let waiting requests be refused."""
        quarantined = self._list_quarantined(keys, now)
        if not quarantined:
            return
        suspects = self._table.list_quarantined(now)
        for key in quarantined:
            suspect = suspects[key]
            _log.warning(
                'suspect_quarantined',
                key=key,
                crashes=list(suspect.crashes),
                source=source,
                first_crash_s=_first_crash_age_s(suspect, now),
            )
        for callback in self.on_quarantined:
            callback()

    def _publish(self, news: SuspectReport) -> None:
        for callback in self.on_news:
            callback(news)


def _first_crash_age_s(suspect: Suspect, now: float) -> float:
    first_at = min(crash.at for crash in suspect.crashes.values())
    return round(now - first_at, 3)


def _specificity(key: str) -> int:
    """Return the rank of a key's kind; -1 if the kind is unknown."""
    return _KINDS.get(key.partition(':')[0], -1)


def _never() -> bool:
    return False
