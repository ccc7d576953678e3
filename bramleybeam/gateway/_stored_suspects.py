"""Quarantined suspects in the store, for gateways that start later.

The planner writes them, because a loss of all gateways at once would otherwise
lose them. A gateway that reads one holds it against the same requests as the
gateways before.
"""

import json
from collections.abc import Callable, Iterable
from typing import Final

import structlog

from bramleybeam.gateway._peer_codec_parts import (
    decode_suspects,
    encode_suspects,
)
from bramleybeam.gateway._suspect_report import SuspectReport

SUSPECT_PREFIX: Final = 'bramleybeam/suspects/'
_DECODING_ERRORS: Final = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    RecursionError,
)
_log = structlog.get_logger('suspects')


class StoredSuspects:
    """The suspects that are listed in the store, as read by this gateway.

    The callbacks in ``on_read`` are called with what an entry states, and with
    the crashes to be cleared when it is removed.
    """

    def __init__(self) -> None:
        """Start without entries."""
        self.on_read: list[Callable[[SuspectReport], None]] = []
        self._listed: dict[str, SuspectReport] = {}

    @property
    def store_keys(self) -> list[str]:
        """The keys of the entries in the store."""
        return [SUSPECT_PREFIX + key for key in self._listed]

    def update(self, store_key: str, content: bytes) -> None:
        """Read an entry of the store."""
        key = store_key.removeprefix(SUSPECT_PREFIX)
        self._listed[key] = _decode(content)
        self._notify(self._listed[key])

    def remove(self, store_key: str) -> None:
        """Record that an entry was removed: its suspect was cleared."""
        report = self._listed.pop(store_key.removeprefix(SUSPECT_PREFIX), None)
        if report is None:
            return
        cleared = {
            key: [crash.name for crash in crashes]
            for key, crashes in report.crashes.items()
        }
        self._notify(SuspectReport(cleared=cleared))

    def find_missing(self, quarantined: SuspectReport) -> dict[str, bytes]:
        """Return the entries to write, by their keys in the store."""
        missing = set(quarantined.crashes).difference(self._listed)
        return _encode_all(quarantined, sorted(missing))

    def find_outdated(self, is_suspect: Callable[[str], bool]) -> list[str]:
        """Return the keys in the store of entries to delete.

        ``is_suspect`` returns whether any crash is held against a suspect.
        """
        return [
            SUSPECT_PREFIX + key for key in self._listed if not is_suspect(key)
        ]

    def _notify(self, report: SuspectReport) -> None:
        for callback in self.on_read:
            callback(report)


def _encode_all(report: SuspectReport, keys: Iterable[str]) -> dict[str, bytes]:
    return {
        SUSPECT_PREFIX + key: json.dumps(
            encode_suspects(SuspectReport({key: report.crashes[key]}))
        ).encode()
        for key in keys
    }


def _decode(content: bytes) -> SuspectReport:
    """Return what an entry states; nothing if it can't be read."""
    try:
        return decode_suspects(json.loads(content))
    except _DECODING_ERRORS as error:
        _log.warning('stored_suspect_unreadable', error=repr(error)[:200])
        return SuspectReport()
