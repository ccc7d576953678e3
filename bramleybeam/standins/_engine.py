"""A simulated model engine with continuous batching and limited memory.

Loading more than the accelerator memory holds aborts the engine for good, as
an out-of-memory error aborts a real one.
"""

import asyncio
import itertools
import time
from collections import OrderedDict
from collections.abc import AsyncIterator, Iterator
from typing import Final

import xxhash

from bramleybeam.standins._answers import answer_tokens
from bramleybeam.standins._engine_parts import (
    Artifact,
    EngineCrashed,
    EngineSettings,
    OrderRefused,
    Sequence,
)
from bramleybeam.standins._weights import WeightStoreStandIn
from bramleybeam.timers import TaskSet

CRASH_MARKER: Final = 'CRASH-ENGINE'
_BLOCK_WORDS: Final = 16
_HASH_MASK: Final = 2**47 - 1


class EngineStandIn:
    """Runs batches, caches prompt prefixes, carries out orders and can crash.

    A prompt that contains ``CRASH_MARKER`` crashes the engine, and with it
    every request that runs or waits there.
    """

    def __init__(
        self,
        settings: EngineSettings,
        weights: WeightStoreStandIn | None = None,
    ) -> None:
        """Create an engine without models; ``start`` starts the batch loop."""
        self.settings = settings
        self.boots = 1
        self.aborted = False
        self.overcommits = 0
        self.runs: dict[str, int] = {}
        self.highest_epoch = 0
        self.role = 'mixed'
        self.artifacts: dict[str, Artifact] = {}
        self.orders: dict[str, str] = {}
        self.slowdown = 1.0
        self._weights = weights or WeightStoreStandIn()
        self._sequences: list[Sequence] = []
        self._wake = asyncio.Event()
        self._arrival_numbers = itertools.count()
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._tasks = TaskSet()
        self._down_until = 0.0

    @property
    def used_mb(self) -> int:
        """Return the memory of all artifacts, in any state, in MB."""
        return sum(artifact.memory_mb for artifact in self.artifacts.values())

    @property
    def is_down(self) -> bool:
        """Return whether the engine process is crashed or restarting."""
        return self.aborted or time.monotonic() < self._down_until

    def start(self) -> None:
        """Start the batch loop."""
        self._tasks.spawn(self._run_batches())

    async def close(self) -> None:
        """Cancel the batch loop and all loads and unloads."""
        await self._tasks.close()

    def is_ready(self, target: str) -> bool:
        """Return whether a model, or an adapter and its model, is loaded."""
        artifact = self.artifacts.get(target)
        if artifact is None or artifact.state != 'ready':
            return False
        if artifact.kind == 'adapter':
            return self.is_ready(artifact.model)
        return True

    def submit(
        self,
        request_id: str,
        target: str,
        prompt: str,
        max_tokens: int | None,
        resume_from: int,
        priority: int,
    ) -> Sequence:
        """Queue a request and return its sequence; high priorities run first.

        The answer starts at token ``resume_from``.
        """
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        sequence = Sequence(
            request_id,
            target,
            answer_tokens(target, prompt, max_tokens),
            prompt,
            resume_from,
            priority,
            next(self._arrival_numbers),
        )
        self._sequences.append(sequence)
        self._wake.set()
        return sequence

    async def stream(
        self, sequence: Sequence
    ) -> AsyncIterator[tuple[int, str]]:
        """Yield pairs (offset, token) until the answer ends.

        Raises ``EngineCrashed`` if the engine crashes before that.
        """
        try:
            while True:
                output = await sequence.output.get()
                if output is None:
                    return
                if isinstance(output, Exception):
                    raise output
                yield output
        finally:
            sequence.cancelled = True

    def cancel(self, request_id: str) -> None:
        """End the streams of a request after the tokens generated so far."""
        for sequence in self._sequences:
            if sequence.request_id == request_id:
                sequence.cancelled = True
                sequence.output.put_nowait(None)

    def order(
        self,
        order_id: str,
        kind: str,
        artifact: Artifact,
        epoch: int,
    ) -> str:
        """Accept an order and return its state, ``running`` or ``done``.

        A repeated order id starts nothing and returns the current state.
        Raises ``OrderRefused`` for a stale epoch or too little memory.
        """
        previous_state = self.orders.get(order_id)
        if previous_state is not None:
            return previous_state
        if self.settings.checks_fencing and epoch < self.highest_epoch:
            raise OrderRefused(409, f'epoch {epoch} < {self.highest_epoch}')
        self.highest_epoch = max(self.highest_epoch, epoch)
        self.orders[order_id] = 'running'
        match kind:
            case 'load':
                self._begin_load(order_id, artifact)
            case 'unload':
                self._begin_unload(order_id, artifact.name)
            case 'set_role':
                self.role = artifact.name
                self.orders[order_id] = 'done'
        return self.orders[order_id]

    def crash(self) -> None:
        """Drop artifacts, orders and requests; restart after ``restart_s``."""
        self.boots += 1
        self._down_until = time.monotonic() + self.settings.restart_s
        self.artifacts.clear()
        self.orders.clear()
        self._cache.clear()
        for sequence in self._sequences:
            sequence.output.put_nowait(EngineCrashed())
        self._sequences.clear()

    def _begin_load(self, order_id: str, artifact: Artifact) -> None:
        if artifact.name in self.artifacts:
            self.orders[order_id] = 'done'
            return
        self.artifacts[artifact.name] = artifact
        if self.used_mb > self.settings.capacity_mb:
            self.overcommits += 1
            self.crash()
            self.aborted = True
            raise OrderRefused(507, 'out of accelerator memory: aborted')
        self._tasks.spawn(self._load(order_id, artifact))

    def _begin_unload(self, order_id: str, name: str) -> None:
        artifact = self.artifacts.get(name)
        if artifact is None:
            self.orders[order_id] = 'done'
            return
        artifact.state = 'unloading'
        self._tasks.spawn(self._unload(order_id, artifact))

    async def _load(self, order_id: str, artifact: Artifact) -> None:
        boot = self.boots
        await self._weights.fetch(artifact.kind, artifact.memory_mb)
        if artifact.kind == 'model':
            gigabytes = artifact.memory_mb / 1000
            await asyncio.sleep(gigabytes * self.settings.load_s_per_gb)
        if boot == self.boots:
            artifact.state = 'ready'
            self.orders[order_id] = 'done'

    async def _unload(self, order_id: str, artifact: Artifact) -> None:
        boot = self.boots
        await asyncio.sleep(self.settings.unload_s)
        if boot == self.boots:
            self.artifacts.pop(artifact.name, None)
            self.orders[order_id] = 'done'

    async def _run_batches(self) -> None:
        while True:
            if not self._sequences:
                self._wake.clear()
                await self._wake.wait()
            batch = self._choose_batch()
            await asyncio.sleep(self._step_duration(batch))
            self._advance(batch)

    def _choose_batch(self) -> list[Sequence]:
        self._sequences = [
            candidate
            for candidate in self._sequences
            if not candidate.cancelled
        ]
        by_priority = sorted(
            self._sequences,
            key=lambda candidate: (
                -candidate.priority,
                not candidate.started,
                candidate.order,
            ),
        )
        return by_priority[: self.settings.max_batch]

    def _step_duration(self, batch: list[Sequence]) -> float:
        settings = self.settings
        prefill_words = 0
        for sequence in batch:
            if not sequence.started:
                sequence.started = True
                prefill_words += self._start_prefill(sequence)
        step_time_s = settings.step_s + settings.step_per_sequence_s * len(
            batch
        )
        prefill_time_s = prefill_words * settings.prefill_per_token_s
        return (step_time_s + prefill_time_s) * self.slowdown

    def _start_prefill(self, sequence: Sequence) -> int:
        words = sequence.prompt.split()
        sequence.cached_words = self._match_prefix(sequence.target, words)
        return len(words) - sequence.cached_words + sequence.position

    def _match_prefix(self, target: str, words: list[str]) -> int:
        cached = 0
        for block in block_hashes(target, words):
            if block in self._cache:
                cached += _BLOCK_WORDS
                self._cache.move_to_end(block)
            else:
                self._cache_block(block)
        return min(cached, len(words))

    def _cache_block(self, block: int) -> None:
        self._cache[block] = None
        if len(self._cache) > self.settings.cache_blocks:
            self._cache.popitem(last=False)

    def _advance(self, batch: list[Sequence]) -> None:
        if any(CRASH_MARKER in sequence.prompt for sequence in batch):
            self.crash()
            return
        for sequence in batch:
            if sequence.position < len(sequence.tokens):
                token = sequence.tokens[sequence.position]
                sequence.output.put_nowait((sequence.position, token))
                sequence.position += 1
            if sequence.position >= len(sequence.tokens):
                sequence.output.put_nowait(None)
                sequence.cancelled = True


def block_hashes(target: str, words: list[str]) -> Iterator[int]:
    """Yield the hash of each full block of a prompt's prefix.

    Each hash covers the target and all words up to the end of the block, and
    has 47 bits.
    """
    digest = xxhash.xxh64(target.encode())
    for start in range(0, len(words) - _BLOCK_WORDS + 1, _BLOCK_WORDS):
        digest.update(' '.join(words[start : start + _BLOCK_WORDS]).encode())
        yield digest.copy().intdigest() & _HASH_MASK
