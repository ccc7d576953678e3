"""Quarantines requests that crash upstreams; shared by all entries."""

import asyncio
import time
from collections import defaultdict

import structlog
from expression import Error, Ok

from bramleybeam.decisions import SuspectTable, Suspicion
from bramleybeam.entry._connections import Connections
from bramleybeam.entry._exchange import Exchange
from bramleybeam.entry._filters import Outcome
from bramleybeam.errors import ErrorKind, Execution, Refusal, refuse
from bramleybeam.links import Link, Notice
from bramleybeam.messages import (
    CrashNotice,
    MessageError,
    Topic,
    decode,
    encode,
)

_log = structlog.get_logger('quarantine')


class Quarantine:
    """Refuses requests that crash upstreams; runs suspects one at a time."""

    def __init__(self, connections: Connections) -> None:
        """Store the connections over which crashes are reported."""
        self.suspects = SuspectTable()
        self._connections = connections
        self._model_locks: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._seen_crash_ids: dict[str, None] = {}

    async def apply(self, exchange: Exchange) -> Outcome:
        """Refuse a request whose fingerprint is quarantined."""
        refusal = self.find_refusal(exchange)
        return Error(refusal) if refusal else Ok(exchange)

    def find_refusal(self, exchange: Exchange) -> Refusal | None:
        """Return a refusal if the request is quarantined, else ``None``."""
        now = time.monotonic()
        fingerprint = exchange.fingerprint
        if (
            self.suspects.suspicion_of(fingerprint, now)
            != Suspicion.QUARANTINED
        ):
            return None
        execution = Execution.NOT_RUN
        if exchange.attempts:
            execution = Execution.OUTCOME_UNKNOWN
        return refuse(
            ErrorKind.QUARANTINED,
            execution=execution,
            retry_after=self.suspects.time_left(fingerprint, now),
        )

    def is_suspect(self, exchange: Exchange) -> bool:
        """Whether the request may only run on an otherwise idle upstream."""
        now = time.monotonic()
        return (
            self.suspects.suspicion_of(exchange.fingerprint, now)
            == Suspicion.ALONE
        )

    def lock_for(self, exchange: Exchange) -> asyncio.Lock:
        """Return the lock that makes suspects of one model run in turn."""
        return self._model_locks[exchange.base_model]

    def clear(self, exchange: Exchange) -> None:
        """Clear the suspicion of a request that has finished."""
        self.suspects.clear(exchange.fingerprint)

    def handle_notice(self, link: Link, notice: Notice) -> None:
        """Record a crash reported by an agent or another entry.

        Each crash is recorded once and forwarded to all other entries.
        """
        try:
            crash = decode(notice.body, CrashNotice)
        except MessageError as error:
            _log.warning('bad_notice', peer=link.peer.process, error=str(error))
            return
        if crash.crash_id in self._seen_crash_ids:
            return
        self._seen_crash_ids[crash.crash_id] = None
        # Bounds the memory: 1000 more crash ids than there are suspects.
        if len(self._seen_crash_ids) > len(self.suspects) + 1000:
            self._seen_crash_ids.pop(next(iter(self._seen_crash_ids)))
        _log.warning('upstream_crashed', crash=crash.crash_id)
        self.suspects.note_crash(crash.fingerprints, time.monotonic())
        self._connections.broadcast(
            Notice(Topic.CRASH, encode(crash)),
            role='entry',
        )
