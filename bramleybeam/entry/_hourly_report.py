"""Writes hourly request counts and revisions to the key-value service.

They are the evidence for the insurer: which configuration was in force, and
how the requests ended. Hosts have no durable storage, so each entry merges
its counts into one of ``HOURLY_REPORT_SLOTS`` values for each hour.
``ctl report`` reads and sums them.
"""

import json
import time
from collections import Counter
from datetime import UTC, datetime
from typing import Any, Final

import attrs
import structlog
import xxhash
from expression import Result

from bramleybeam.documents import Applied, ConfigurationKeeper
from bramleybeam.entry._planner import Planner
from bramleybeam.entry._statistics import RequestStatistics
from bramleybeam.keyvalue import KeyValue, Versioned

# Time between two writes of an entry's counts.
HOURLY_REPORT_PERIOD_S: Final = 30.0
# Values stored for each hour. An entry uses the one that its incarnation hashes
# to; several entries may share one.
HOURLY_REPORT_SLOTS: Final = 16
# Attempts at a write; one fails if another entry writes the slot meanwhile.
_MAX_ATTEMPTS: Final = 4
_log = structlog.get_logger('hourly_report')


def hourly_report_key(hour: str, slot: int) -> str:
    """Return the storage key of a slot of an hour like ``2026-12-04T05``."""
    return f'reports/{hour}/{slot}'


def hour_of(epoch_s: float) -> str:
    """Return the UTC hour of a time in seconds since the epoch."""
    return datetime.fromtimestamp(epoch_s, UTC).strftime('%Y-%m-%dT%H')


class HourlyReport:
    """Writes this entry's counts and revisions of the current hour."""

    def __init__(
        self,
        incarnation: str,
        store: KeyValue,
        keeper: ConfigurationKeeper,
        statistics: RequestStatistics,
        planner: Planner,
    ) -> None:
        """Store the sources of the counts and where they are written."""
        self._incarnation = incarnation
        self._store = store
        self._statistics = statistics
        self._planner = planner
        self._hour = hour_of(time.time())
        self._baseline = self._count_totals()
        self._revisions: list[tuple[int, float]] = []
        self._last_written: dict[str, Any] = {}
        keeper.subscribe(self._note_revision)

    async def write(self) -> None:
        """Write the counts of the current hour if they have changed.

        The first write after the hour has changed still belongs to the
        previous hour; the counts then start again from zero.
        """
        hour = hour_of(time.time())
        await self._write_hour()
        if hour != self._hour:
            self._hour = hour
            self._baseline = self._count_totals()
            self._revisions = self._revisions[-1:]
            self._last_written = {}

    async def _write_hour(self) -> None:
        record = self._make_record()
        if record == self._last_written:
            return
        slot = (
            xxhash.xxh32(self._incarnation.encode()).intdigest()
            % HOURLY_REPORT_SLOTS
        )
        key = hourly_report_key(self._hour, slot)
        for _ in range(_MAX_ATTEMPTS):
            if await self._merge(key, record):
                self._last_written = record
                return
        _log.warning('hourly_report_not_written', key=key)

    async def _merge(self, key: str, record: dict[str, Any]) -> bool:
        match await self._store.get(key):
            case Result(tag='ok', ok=None):
                version, records = 0, {}
            case Result(tag='ok', ok=Versioned() as stored):
                version, records = stored.version, json.loads(stored.text)
            case _:
                return False
        records[self._incarnation] = record
        swapped = await self._store.swap(key, json.dumps(records), version)
        return swapped.is_ok()

    def _make_record(self) -> dict[str, Any]:
        totals = self._count_totals()
        counts = {
            name: total - self._baseline.get(name, 0)
            for name, total in totals.items()
        }
        return {'counts': counts, 'revisions': list(self._revisions)}

    def _count_totals(self) -> Counter[str]:
        """Return all counts under flat names such as ``class/NAME/met``."""
        totals: Counter[str] = Counter({'moves': self._planner.moves})
        for name, outcomes in self._statistics.class_counts.items():
            for outcome, count in attrs.asdict(outcomes).items():
                totals[f'class/{name}/{outcome}'] = count
        for kind, count in self._statistics.refusals.items():
            totals[f'refusal/{kind}'] = count
        return totals

    def _note_revision(self, applied: Applied) -> None:
        self._revisions.append((applied.revision, time.time()))
