"""Lets a keyed request run at most once, whichever entry it comes to."""

from typing import Final

import structlog
from expression import Error, Ok

from bramleybeam.claims import ClaimRouter
from bramleybeam.decisions import Verdict
from bramleybeam.entry._exchange import KEPT_BYTES, Exchange
from bramleybeam.entry._filters import Outcome
from bramleybeam.errors import ErrorKind, Execution, Refusal, refuse
from bramleybeam.messages import ClaimCall, ClaimReply
from bramleybeam.timers import TaskSet

_UNAVAILABLE_RETRY_S: Final = 2
_log = structlog.get_logger('duplicates')


class CheckDuplicates:
    """Claims a request's key before it is dispatched; settles it after.

    A claim that was granted is settled in one of three ways: finished with
    its outcome, released when the request surely did not run, or left open
    when nobody knows. A repeat of an open one is told so.
    """

    def __init__(self, router: ClaimRouter) -> None:
        """Store where claims are judged."""
        self._router = router
        self._tasks = TaskSet()

    async def apply(self, exchange: Exchange) -> Outcome:
        """Claim the key of a keyed request, or refuse a repeat."""
        if not exchange.idempotency_key:
            return Ok(exchange)
        reply = await self._router.submit(_make_call(exchange, 'claim'))
        if reply.verdict == Verdict.GRANTED:
            exchange.claimed = True
            return Ok(exchange)
        if reply.verdict == Verdict.UNAVAILABLE:
            # The claim may have been written; nobody will run it.
            self._spawn_settle(_make_call(exchange, 'release'))
        if reply.verdict == Verdict.FINISHED and reply.answer:
            exchange.recorded = reply.status, reply.answer
        return Error(_refusal_of(reply))

    async def settle(self, exchange: Exchange) -> None:
        """Record how a claimed exchange ended."""
        if not exchange.claimed:
            return
        refusal = exchange.refusal
        if exchange.ending:
            await self._router.submit(_make_call(exchange, 'finish'))
        elif refusal and refusal.execution == Execution.NOT_RUN:
            await self._router.submit(_make_call(exchange, 'release'))

    async def close(self) -> None:
        """Stop settling."""
        await self._tasks.close()

    def _spawn_settle(self, call: ClaimCall) -> None:
        self._tasks.spawn(self._submit_later(call))

    async def _submit_later(self, call: ClaimCall) -> None:
        reply = await self._router.submit(call)
        if reply.verdict == Verdict.UNAVAILABLE:
            _log.warning('claim_left_open', key=call.key)


def _make_call(exchange: Exchange, action: str) -> ClaimCall:
    ending = exchange.ending
    answer = bytes(exchange.kept)
    is_whole = len(answer) <= KEPT_BYTES and not exchange.streamed
    return ClaimCall(
        action=action,
        key=f'{exchange.caller}/{exchange.idempotency_key}',
        nonce=exchange.request_id,
        fingerprint=exchange.fingerprint,
        status=ending.status if ending else 0,
        answer=answer.decode(errors='replace') if is_whole else '',
    )


def _refusal_of(reply: ClaimReply) -> Refusal:
    match reply.verdict:
        case Verdict.IN_PROGRESS:
            return refuse(
                ErrorKind.DUPLICATE_IN_PROGRESS,
                execution=Execution.OUTCOME_UNKNOWN,
                retry_after=1,
            )
        case Verdict.FINISHED:
            return refuse(
                ErrorKind.DUPLICATE_FINISHED,
                execution=Execution.ALREADY_RAN,
            )
        case Verdict.REUSED:
            return refuse(ErrorKind.KEY_REUSED)
    return refuse(
        ErrorKind.CLAIMS_UNAVAILABLE,
        retry_after=_UNAVAILABLE_RETRY_S,
    )
