"""State of one caller's request in the pipeline."""

import time
from typing import Any, Final

import attrs
from opentelemetry.sdk.trace import Span

from bramleybeam.documents import WorkClass
from bramleybeam.errors import Execution, Refusal

# Longest answer, in bytes, that is stored with a claim for replay.
MAX_STORED_ANSWER_BYTES: Final = 2048


class RequestRefusedError(Exception):
    """Ends an exchange with a refusal instead of an answer."""

    def __init__(self, refusal: Refusal) -> None:
        """Store the refusal; its message becomes that of the exception."""
        super().__init__(refusal.message)
        self.refusal = refusal


@attrs.frozen
class AnswerChunk:
    """A part of the answer: ``count`` tokens, or bytes of a plain service."""

    body: bytes
    count: int


@attrs.frozen
class AnswerRestart:
    """All earlier parts are void, because the answer begins again."""


@attrs.frozen
class AnswerEnd:
    """The end of a complete answer, with its token usage."""

    finish_reason: str
    tokens: int
    prompt_tokens: int = 0
    cached_tokens: int = 0
    status: int = 200
    content_type: str = ''


AnswerPart = AnswerChunk | AnswerRestart | AnswerEnd


@attrs.define(eq=False)
class Exchange:
    """A request, the results of the filters and the progress of its answer.

    Times are monotonic, in seconds; 0 means that the event has not occurred.
    ``kind`` is ``inference`` or ``service``. ``target`` is the model, adapter
    or plain service that the request names. ``offset`` counts the tokens, or
    the bytes of a plain service, that were sent to the caller. ``alone``
    means that the request runs only while its upstream has no other request
    in flight. ``answer_head`` holds the beginning of the answer of a request
    with a claim; ``may_have_run`` is set after an attempt that was lost.
    ``stored_answer`` is the status and text of the answer that an
    earlier request with the same idempotency key received.
    """

    request_id: str
    kind: str
    path: str
    method: str
    body: dict[str, Any]
    raw_body: bytes
    headers: dict[str, str]
    received_at: float = attrs.field(factory=time.monotonic)
    caller: str = ''
    target: str = ''
    base_model: str = ''
    pool: str = ''
    work_class: WorkClass | None = None
    idempotency_key: str = ''
    has_claim: bool = False
    fingerprint: str = ''
    alone: bool = False
    span: Span | None = None
    traceparent: str = ''
    offset: int = 0
    attempts: int = 0
    upstreams: list[str] = attrs.field(factory=list)
    first_token_at: float = 0
    recovery_deadline_at: float = 0
    refusal: Refusal | None = None
    answer_end: AnswerEnd | None = None
    stored_answer: tuple[int, str] | None = None
    is_streamed: bool = False
    answer_head: bytearray = attrs.field(factory=bytearray)
    may_have_run: bool = False

    @property
    def assigned_class(self) -> WorkClass:
        """Class of work; raises ``RuntimeError`` if none is assigned yet."""
        if self.work_class is None:
            raise RuntimeError(
                'the exchange has no class of work; classify it first'
            )
        return self.work_class

    @property
    def time_left(self) -> float:
        """Seconds until the queue time limit of the class is exceeded.

        After the loss of an upstream, the limit is extended to
        ``recovery_deadline_at``. Negative if it is exceeded.
        """
        now = time.monotonic()
        class_deadline_at = (
            self.received_at + self.assigned_class.longest_wait_s
        )
        return max(class_deadline_at, self.recovery_deadline_at) - now

    def restart_answer(self) -> bool:
        """Drop the answer of a lost attempt if it can't be continued.

        Returns whether parts were dropped. A plain service always starts its
        answer at the beginning, so that parts of two attempts do not fit.
        """
        if self.kind != 'service' or not self.offset:
            return False
        self.offset = 0
        self.answer_head.clear()
        return True

    def correct_refusal(self, refusal: Refusal) -> Refusal:
        """Return a refusal that is true for all attempts, not only the last.

        A refused attempt has not run, but an earlier one may have.
        """
        if self.may_have_run and refusal.execution == Execution.NOT_RUN:
            return attrs.evolve(refusal, execution=Execution.OUTCOME_UNKNOWN)
        return refusal

    def extend_answer_head(self, body: bytes) -> None:
        """Append to the part of the answer that is stored with the claim.

        It may grow past the limit once; an answer that is too long is
        recognised by that and not stored.
        """
        if len(self.answer_head) <= MAX_STORED_ANSWER_BYTES:
            self.answer_head += body

    @property
    def can_cancel(self) -> bool:
        """Whether to cancel the request when the caller disconnects.

        A request that is not idempotent runs to completion, so that its
        outcome is known.
        """
        if self.kind == 'service' or self.work_class is None:
            return False
        return self.work_class.idempotent

    @property
    def met_target(self) -> bool:
        """Whether the answer completed and its first token met the target."""
        if self.answer_end is None or not self.first_token_at:
            return False
        elapsed_s = self.first_token_at - self.received_at
        return elapsed_s <= self.assigned_class.answer_within_s
