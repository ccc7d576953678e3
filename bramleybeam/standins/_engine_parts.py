"""Settings, artifacts, sequences and errors of the engine stand-in."""

import asyncio

import attrs


class EngineCrashed(Exception):  # noqa: N818
    """The engine process crashed while it had the request."""


class OrderRefused(Exception):  # noqa: N818
    """The engine refuses to carry out an order."""

    def __init__(self, status: int, reason: str) -> None:
        """Store the HTTP status of the reply and the reason."""
        super().__init__(reason)
        self.status = status


@attrs.frozen
class EngineSettings:
    """Memory, speed and fencing of an engine stand-in.

    A batch step takes ``step_s``, plus ``step_per_sequence_s`` for each
    sequence in it and ``prefill_per_token_s`` for each uncached prompt word.
    ``cache_blocks`` bounds the prefix cache, in blocks of 16 words, and
    ``restart_s`` is the outage after a crash. With ``checks_fencing`` the
    engine refuses orders with an epoch lower than the highest seen.
    """

    name: str = 'engine'
    capacity_mb: int = 80_000
    checks_fencing: bool = False
    max_batch: int = 32
    step_s: float = 0.008
    step_per_sequence_s: float = 0.0003
    prefill_per_token_s: float = 0.00005
    load_s_per_gb: float = 0.1
    unload_s: float = 0.05
    cache_blocks: int = 4096
    restart_s: float = 1.0


@attrs.define
class Artifact:
    """A model or adapter in the engine's memory.

    ``model`` is the base model of an adapter. ``state`` is ``loading``,
    ``ready`` or ``unloading``.
    """

    name: str
    kind: str
    memory_mb: int
    model: str
    state: str = 'loading'


@attrs.define(eq=False)
class Sequence:
    """A request that runs or waits to run in the batch.

    ``position`` is the offset of the next token in ``tokens``, and ``order``
    the number of the request by arrival. ``output`` receives the tokens with
    their offsets, then None at the end, or the error that ended the request.
    """

    request_id: str
    target: str
    tokens: list[str]
    prompt: str
    position: int
    priority: int
    order: int
    output: asyncio.Queue[tuple[int, str] | None | Exception] = attrs.field(
        factory=asyncio.Queue,
    )
    started: bool = False
    cancelled: bool = False
    cached_words: int = 0
