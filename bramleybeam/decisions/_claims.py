"""Judges claims of idempotency keys against the records of a partition."""

from collections.abc import Iterable
from enum import StrEnum, unique

import attrs

from bramleybeam.messages import ClaimCall, ClaimReply


@unique
class ClaimState(StrEnum):
    """State of a key."""

    OPEN = 'open'
    FINISHED = 'finished'
    RELEASED = 'released'


@unique
class Verdict(StrEnum):
    """What came of a claim call."""

    GRANTED = 'granted'
    IN_PROGRESS = 'in_progress'
    FINISHED = 'finished'
    REUSED = 'reused'
    UNAVAILABLE = 'unavailable'


@attrs.frozen
class ClaimRecord:
    """One durable record; a later record of a key replaces an earlier one."""

    key: str
    nonce: str
    fingerprint: str
    state: ClaimState
    status: int = 0
    answer: str = ''


@attrs.frozen
class Judgement:
    """The reply to a call, and the record to make durable before replying."""

    reply: ClaimReply
    record: ClaimRecord | None = None


class ClaimIndex:
    """The newest record of each key of one partition."""

    def __init__(self, records: Iterable[ClaimRecord] = ()) -> None:
        """Start from records, oldest first."""
        self._newest: dict[str, ClaimRecord] = {}
        for record in records:
            self.add(record)

    def __len__(self) -> int:
        """Count the keys."""
        return len(self._newest)

    def knows(self, key: str) -> bool:
        """Whether there is a record of a key."""
        return key in self._newest

    def add(self, record: ClaimRecord) -> None:
        """Take in a durable record."""
        self._newest[record.key] = record

    def forget(self, keys: Iterable[str]) -> None:
        """Drop keys whose records have left their retention."""
        for key in keys:
            self._newest.pop(key, None)

    def judge(self, call: ClaimCall) -> Judgement:
        """Judge a call; asking again with the same nonce changes nothing."""
        known = self._newest.get(call.key)
        if call.action == 'claim':
            return _judge_claim(call, known)
        return _judge_outcome(call, known)


def _judge_claim(call: ClaimCall, known: ClaimRecord | None) -> Judgement:
    if known is not None and known.nonce == call.nonce:
        if known.state == ClaimState.RELEASED:
            # The claim came after its own release: nobody waits for it.
            return Judgement(ClaimReply(Verdict.UNAVAILABLE))
    if known is None or known.state == ClaimState.RELEASED:
        record = ClaimRecord(
            call.key,
            call.nonce,
            call.fingerprint,
            ClaimState.OPEN,
        )
        return Judgement(ClaimReply(Verdict.GRANTED), record)
    if known.nonce == call.nonce and known.state == ClaimState.OPEN:
        return Judgement(ClaimReply(Verdict.GRANTED))
    if known.fingerprint != call.fingerprint:
        return Judgement(ClaimReply(Verdict.REUSED))
    if known.state == ClaimState.OPEN:
        return Judgement(ClaimReply(Verdict.IN_PROGRESS))
    reply = ClaimReply(Verdict.FINISHED, known.status, known.answer)
    return Judgement(reply)


def _judge_outcome(call: ClaimCall, known: ClaimRecord | None) -> Judgement:
    granted = ClaimReply(Verdict.GRANTED)
    is_early = known is None and call.action == 'release'
    if not is_early and not _is_open_for(call, known):
        return Judgement(granted)
    state = ClaimState.FINISHED
    if call.action == 'release':
        state = ClaimState.RELEASED
    record = ClaimRecord(
        call.key,
        call.nonce,
        call.fingerprint,
        state,
        call.status,
        call.answer,
    )
    return Judgement(granted, record)


def _is_open_for(call: ClaimCall, known: ClaimRecord | None) -> bool:
    if known is None or known.state != ClaimState.OPEN:
        return False
    return known.nonce == call.nonce
