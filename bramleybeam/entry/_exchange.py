"""One caller's request on its way through the pipeline."""

import time
from typing import Any, Final

import attrs
from opentelemetry.sdk.trace import Span

from bramleybeam.documents import WorkClass
from bramleybeam.errors import Refusal

KEPT_BYTES: Final = 2048


class Refusing(Exception):  # noqa: N818
    """Ends an answer with a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        """Store the refusal."""
        super().__init__(refusal.message)
        self.refusal = refusal


@attrs.frozen
class Piece:
    """A part of the answer: ``count`` tokens of text."""

    body: bytes
    count: int


@attrs.frozen
class Ending:
    """The end of a whole answer."""

    finish_reason: str
    tokens: int
    prompt_tokens: int = 0
    cached_tokens: int = 0
    status: int = 200
    content_type: str = ''


@attrs.define(eq=False)
class Exchange:
    """A request, what the filters found out, and how far its answer is.

    Times are monotonic, in seconds. ``offset`` counts the tokens, or the
    bytes of a plain service, that the caller has been given.
    """

    request_id: str
    kind: str
    path: str
    method: str
    body: dict[str, Any]
    raw: bytes
    headers: dict[str, str]
    received_at: float = attrs.field(factory=time.monotonic)
    caller: str = ''
    target: str = ''
    base_model: str = ''
    pool: str = ''
    work_class: WorkClass | None = None
    idempotency_key: str = ''
    claimed: bool = False
    fingerprint: str = ''
    alone: bool = False
    span: Span | None = None
    traceparent: str = ''
    offset: int = 0
    attempts: int = 0
    upstreams: list[str] = attrs.field(factory=list)
    first_token_at: float = 0
    recover_until: float = 0
    refusal: Refusal | None = None
    ending: Ending | None = None
    recorded: tuple[int, str] | None = None
    streamed: bool = False
    kept: bytearray = attrs.field(factory=bytearray)

    @property
    def work(self) -> WorkClass:
        """The class of work; raises ``RuntimeError`` before it is known."""
        if self.work_class is None:
            raise RuntimeError('classify the exchange first')
        return self.work_class

    @property
    def time_left(self) -> float:
        """Seconds until the longest wait of the class is over.

        A request that lost its upstream is given time to recover.
        """
        now = time.monotonic()
        until = self.received_at + self.work.longest_wait_s
        return max(until, self.recover_until) - now

    def keep(self, body: bytes) -> None:
        """Keep the beginning of the answer, to be recorded with a claim."""
        if len(self.kept) <= KEPT_BYTES:
            self.kept += body

    @property
    def may_be_abandoned(self) -> bool:
        """Whether to stop when the caller has gone.

        What is not idempotent runs to its end, so that its outcome is known.
        """
        if self.kind == 'service' or self.work_class is None:
            return False
        return self.work_class.idempotent

    @property
    def met_target(self) -> bool:
        """Whether the answer came whole and within the target."""
        if self.ending is None or not self.first_token_at:
            return False
        elapsed = self.first_token_at - self.received_at
        return elapsed <= self.work.answer_within_s
