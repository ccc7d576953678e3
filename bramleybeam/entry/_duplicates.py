"""Runs a request with an idempotency key at most once across entries."""

from typing import Final

import structlog
from expression import Error, Ok

from bramleybeam.claims import ClaimRouter
from bramleybeam.decisions import Verdict
from bramleybeam.entry._exchange import MAX_STORED_ANSWER_BYTES, Exchange
from bramleybeam.entry._filters import Outcome
from bramleybeam.errors import ErrorKind, Execution, Refusal, refuse
from bramleybeam.messages import ClaimCall, ClaimReply
from bramleybeam.timers import TaskSet

# Retry-After of a refusal because the key can't be claimed now.
_UNAVAILABLE_RETRY_S: Final = 2
_log = structlog.get_logger('duplicates')


class DuplicateFilter:
    """Claims the idempotency key of a request and settles the claim after it.

    A granted claim is finished with the outcome of the request, released if
    the request provably did not run, or left open if the outcome is unknown.
    A repeat of a request whose claim is open is refused as in progress.
    """

    def __init__(self, router: ClaimRouter) -> None:
        """Store the router that submits claims to their committers."""
        self._router = router
        self._tasks = TaskSet()

    async def apply(self, exchange: Exchange) -> Outcome:
        """Claim the request's idempotency key, if any, or refuse a repeat."""
        if not exchange.idempotency_key:
            return Ok(exchange)
        reply = await self._router.submit(_make_call(exchange, 'claim'))
        if reply.verdict == Verdict.GRANTED:
            exchange.has_claim = True
            return Ok(exchange)
        if reply.verdict == Verdict.UNAVAILABLE:
            # The claim may have been written although the request is refused
            # here, so release it.
            self._submit_in_background(_make_call(exchange, 'release'))
        if reply.verdict == Verdict.FINISHED and reply.answer:
            exchange.stored_answer = reply.status, reply.answer
        return Error(_make_refusal(reply))

    async def settle(self, exchange: Exchange) -> None:
        """Finish or release the claim of an exchange that has ended."""
        if not exchange.has_claim:
            return
        refusal = exchange.refusal
        if exchange.answer_end:
            await self._router.submit(_make_call(exchange, 'finish'))
        elif refusal and refusal.execution == Execution.NOT_RUN:
            await self._router.submit(_make_call(exchange, 'release'))

    async def close(self) -> None:
        """Cancel the releases that are still running."""
        await self._tasks.close()

    def _submit_in_background(self, call: ClaimCall) -> None:
        self._tasks.spawn(self._submit_and_log(call))

    async def _submit_and_log(self, call: ClaimCall) -> None:
        reply = await self._router.submit(call)
        if reply.verdict == Verdict.UNAVAILABLE:
            _log.warning('claim_release_failed', key=call.key)


def _make_call(exchange: Exchange, action: str) -> ClaimCall:
    answer_end = exchange.answer_end
    answer = bytes(exchange.answer_head)
    is_complete = (
        len(answer) <= MAX_STORED_ANSWER_BYTES and not exchange.is_streamed
    )
    return ClaimCall(
        action=action,
        key=f'{exchange.caller}/{exchange.idempotency_key}',
        nonce=exchange.request_id,
        fingerprint=exchange.fingerprint,
        status=answer_end.status if answer_end else 0,
        answer=answer.decode(errors='replace') if is_complete else '',
    )


def _make_refusal(reply: ClaimReply) -> Refusal:
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
