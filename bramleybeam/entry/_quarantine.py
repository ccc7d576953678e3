"""Shares suspects among entries and keeps their runs apart."""

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
    """Refuses what crashes upstreams; lets suspects run one at a time."""

    def __init__(self, connections: Connections) -> None:
        """Store how other entries are told."""
        self.table = SuspectTable()
        self._connections = connections
        self._turns: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._seen: dict[str, None] = {}

    async def apply(self, exchange: Exchange) -> Outcome:
        """Refuse a request whose like is quarantined."""
        refusal = self.find_refusal(exchange)
        return Error(refusal) if refusal else Ok(exchange)

    def find_refusal(self, exchange: Exchange) -> Refusal | None:
        """Return a refusal when the request may not be run any more."""
        now = time.monotonic()
        fingerprint = exchange.fingerprint
        if self.table.suspicion_of(fingerprint, now) != Suspicion.QUARANTINED:
            return None
        execution = Execution.NOT_RUN
        if exchange.attempts:
            execution = Execution.OUTCOME_UNKNOWN
        return refuse(
            ErrorKind.QUARANTINED,
            execution=execution,
            retry_after=self.table.time_left(fingerprint, now),
        )

    def is_suspect(self, exchange: Exchange) -> bool:
        """Whether the request may only be run alone."""
        now = time.monotonic()
        return (
            self.table.suspicion_of(exchange.fingerprint, now)
            == Suspicion.ALONE
        )

    def turn_of(self, exchange: Exchange) -> asyncio.Lock:
        """Return the lock under which suspects of one model take turns."""
        return self._turns[exchange.base_model]

    def clear(self, exchange: Exchange) -> None:
        """Take suspicion from a request that has finished."""
        self.table.clear(exchange.fingerprint)

    def take_notice(self, link: Link, notice: Notice) -> None:
        """Take in a crash that an agent or another entry tells of."""
        try:
            crash = decode(notice.body, CrashNotice)
        except MessageError as error:
            _log.warning('bad_notice', peer=link.peer.process, error=str(error))
            return
        if crash.crash_id in self._seen:
            return
        self._seen[crash.crash_id] = None
        if len(self._seen) > len(self.table) + 1000:
            self._seen.pop(next(iter(self._seen)))
        _log.warning('upstream_crashed', crash=crash.crash_id)
        self.table.note_crash(crash.fingerprints, time.monotonic())
        self._connections.broadcast(
            Notice(Topic.CRASH, encode(crash)),
            role='entry',
        )
