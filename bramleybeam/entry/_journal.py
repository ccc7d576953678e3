"""Keeps the insurer's proof in the platform's service, hour by hour.

Hosts keep nothing, so each entry merges its own counts of the hour into one
of a few values of that hour. ``ctl report`` reads and adds them up.
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
from bramleybeam.entry._account import Account
from bramleybeam.entry._planner import Planner
from bramleybeam.keyvalue import KeyValue, Versioned

JOURNAL_PERIOD_S: Final = 30.0
SLOTS: Final = 16
_TRIES: Final = 4
_log = structlog.get_logger('journal')


def journal_key(hour: str, slot: int) -> str:
    """Return the key of one slot of an hour such as ``2026-12-04T05``."""
    return f'reports/{hour}/{slot}'


def hour_of(moment: float) -> str:
    """Return the hour, in UTC, of seconds since the epoch."""
    return datetime.fromtimestamp(moment, UTC).strftime('%Y-%m-%dT%H')


class Journal:
    """Writes this entry's counts of the current hour."""

    def __init__(
        self,
        incarnation: str,
        store: KeyValue,
        keeper: ConfigurationKeeper,
        account: Account,
        planner: Planner,
    ) -> None:
        """Store what is counted and where it is kept."""
        self._incarnation = incarnation
        self._store = store
        self._account = account
        self._planner = planner
        self._hour = hour_of(time.time())
        self._baseline = self._totals()
        self._revisions: list[tuple[int, float]] = []
        self._written: dict[str, Any] = {}
        keeper.subscribe(self._note_revision)

    async def write(self) -> None:
        """Merge what is new into the hour's value."""
        hour = hour_of(time.time())
        await self._write_hour()
        if hour != self._hour:
            self._hour = hour
            self._baseline = self._totals()
            self._revisions = self._revisions[-1:]
            self._written = {}

    async def _write_hour(self) -> None:
        record = self._make_record()
        if record == self._written:
            return
        slot = xxhash.xxh32(self._incarnation.encode()).intdigest() % SLOTS
        key = journal_key(self._hour, slot)
        for _ in range(_TRIES):
            if await self._merge(key, record):
                self._written = record
                return
        _log.warning('journal_not_written', key=key)

    async def _merge(self, key: str, record: dict[str, Any]) -> bool:
        match await self._store.get(key):
            case Result(tag='ok', ok=None):
                version, known = 0, {}
            case Result(tag='ok', ok=Versioned() as found):
                version, known = found.version, json.loads(found.text)
            case _:
                return False
        known[self._incarnation] = record
        written = await self._store.swap(key, json.dumps(known), version)
        return written.is_ok()

    def _make_record(self) -> dict[str, Any]:
        totals = self._totals()
        counts = {
            name: found - self._baseline.get(name, 0)
            for name, found in totals.items()
        }
        return {'counts': counts, 'revisions': list(self._revisions)}

    def _totals(self) -> Counter[str]:
        """Count everything under flat names such as ``class/outcome``."""
        totals: Counter[str] = Counter({'moves': self._planner.moves})
        for name, tally in self._account.tallies.items():
            for outcome, count in attrs.asdict(tally).items():
                totals[f'class/{name}/{outcome}'] = count
        for kind, count in self._account.refusals.items():
            totals[f'refusal/{kind}'] = count
        return totals

    def _note_revision(self, applied: Applied) -> None:
        self._revisions.append((applied.revision, time.time()))
