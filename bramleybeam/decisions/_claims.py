"""Evaluates claims on idempotency keys against a partition's records."""

from collections.abc import Iterable
from enum import StrEnum, unique

import attrs

from bramleybeam.messages import ClaimCall, ClaimReply


@unique
class ClaimState(StrEnum):
    """State of an idempotency key.

    A key is open while the request that claimed it runs, finished once its
    answer is recorded, and released if it may be claimed again.
    """

    OPEN = 'open'
    FINISHED = 'finished'
    RELEASED = 'released'


@unique
class Verdict(StrEnum):
    """Result of a claim call."""

    GRANTED = 'granted'
    IN_PROGRESS = 'in_progress'
    FINISHED = 'finished'
    REUSED = 'reused'
    UNAVAILABLE = 'unavailable'


@attrs.frozen
class ClaimRecord:
    """A durable record of a key; it replaces earlier records of the key.

    ``nonce`` identifies the claimant and ``fingerprint`` the request.
    ``status`` and ``answer`` are those of a finished request.
    """

    key: str
    nonce: str
    fingerprint: str
    state: ClaimState
    status: int = 0
    answer: str = ''


@attrs.frozen
class ClaimDecision:
    """The reply to a call, and the record to store before it is sent."""

    reply: ClaimReply
    record: ClaimRecord | None = None


class ClaimIndex:
    """The latest record of each key of one partition."""

    def __init__(self, records: Iterable[ClaimRecord] = ()) -> None:
        """Add ``records``, which are ordered from oldest to newest."""
        self._latest: dict[str, ClaimRecord] = {}
        for record in records:
            self.add(record)

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._latest)

    def has_record(self, key: str) -> bool:
        """Whether there is a record of a key."""
        return key in self._latest

    def add(self, record: ClaimRecord) -> None:
        """Add a durable record, replacing the current one of its key."""
        self._latest[record.key] = record

    def forget(self, keys: Iterable[str]) -> None:
        """Remove keys whose records have passed the retention time."""
        for key in keys:
            self._latest.pop(key, None)

    def decide(self, call: ClaimCall) -> ClaimDecision:
        """Evaluate a call without changing the index.

        A call that repeats an earlier one with the same nonce does not
        change the state of the key.
        """
        current = self._latest.get(call.key)
        if call.action == 'claim':
            return _decide_claim(call, current)
        return _decide_outcome(call, current)


def _decide_claim(
    call: ClaimCall, current: ClaimRecord | None
) -> ClaimDecision:
    if current is not None and current.nonce == call.nonce:
        if current.state == ClaimState.RELEASED:
            # The claim was overtaken by its own release, so that its sender
            # no longer waits for the reply.
            return ClaimDecision(ClaimReply(Verdict.UNAVAILABLE))
    if current is None or current.state == ClaimState.RELEASED:
        record = ClaimRecord(
            call.key,
            call.nonce,
            call.fingerprint,
            ClaimState.OPEN,
        )
        return ClaimDecision(ClaimReply(Verdict.GRANTED), record)
    if current.nonce == call.nonce and current.state == ClaimState.OPEN:
        return ClaimDecision(ClaimReply(Verdict.GRANTED))
    if current.fingerprint != call.fingerprint:
        return ClaimDecision(ClaimReply(Verdict.REUSED))
    if current.state == ClaimState.OPEN:
        return ClaimDecision(ClaimReply(Verdict.IN_PROGRESS))
    reply = ClaimReply(Verdict.FINISHED, current.status, current.answer)
    return ClaimDecision(reply)


def _decide_outcome(
    call: ClaimCall, current: ClaimRecord | None
) -> ClaimDecision:
    """Evaluate a call that finishes or releases a claim."""
    granted = ClaimReply(Verdict.GRANTED)
    is_overtaking = current is None and call.action == 'release'
    # A release that overtakes its claim is recorded as well, so that the late
    # claim is not granted.
    if not is_overtaking and not _is_open_for(call, current):
        return ClaimDecision(granted)
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
    return ClaimDecision(granted, record)


def _is_open_for(call: ClaimCall, current: ClaimRecord | None) -> bool:
    """Whether the sender of a call holds the claim on the key."""
    if current is None or current.state != ClaimState.OPEN:
        return False
    return current.nonce == call.nonce
