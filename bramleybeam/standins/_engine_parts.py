"""Settings of an engine stand-in, what it holds, runs and answers with."""

import asyncio

import attrs


class EngineCrashed(Exception):  # noqa: N818
    """The engine process died while the request was in it."""


class OrderRefused(Exception):  # noqa: N818
    """The engine does not carry out an order."""

    def __init__(self, status: int, reason: str) -> None:
        """Store the HTTP status and the reason."""
        super().__init__(reason)
        self.status = status


@attrs.frozen
class EngineSettings:
    """Memory, speed and manners of a stand-in; times in seconds."""

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
    """A model or adapter in the engine's memory."""

    name: str
    kind: str
    memory_mb: int
    model: str
    state: str = 'loading'


@attrs.define(eq=False)
class Sequence:
    """One request in the batch."""

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
