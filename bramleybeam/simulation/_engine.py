"""One replica that runs models in batches, token step by token step."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import Final

from bramleybeam.catalog import EngineSpec, Holdings
from bramleybeam.orders import (
    LoadAdapter,
    LoadModel,
    ModelOrder,
    Target,
    UnloadAdapter,
    UnloadModel,
)
from bramleybeam.simulation._run import Run
from bramleybeam.simulation._weight_store import WeightStore
from bramleybeam.timers import TaskSet

# Time of a step with an empty batch, and more for each request in it
# (SYSTEM.md, engines of both sites).
_STEP_S: Final = 0.0101
_STEP_PER_REQUEST_S: Final = 0.0000328
_PREFILL_TOKENS_PER_S: Final = 20_400.0
# Prompt tokens that are read between two steps of the batch.
_CHUNK_TOKENS: Final = 1024
_ADAPTER_S: Final = 0.02
_UNLOAD_S: Final = 0.05
_MEMORY_MODELS: Final = 2
_DISK_MODELS: Final = 6


class EngineModel:
    """Serves runs in a batch, and carries out one model order at a time."""

    def __init__(
        self,
        spec: EngineSpec,
        store: WeightStore,
        models: tuple[str, ...],
        tokens_per_event: int = 2,
    ) -> None:
        """Start with some models present and on disk."""
        self.models: dict[str, set[str]] = {name: set() for name in models}
        self.sequence = 0
        self.coming: set[Target] = set()
        self.is_busy = False
        self.on_change: Callable[[], None] = lambda: None
        self._spec = spec
        self._store = store
        self._tokens_per_event = tokens_per_event
        self._in_memory: OrderedDict[str, None] = OrderedDict()
        self._on_disk: OrderedDict[str, None] = OrderedDict()
        self._queue: list[Run] = []
        self._batch: list[Run] = []
        self._cached: set[tuple[Target, str]] = set()
        self._is_stepping = False
        self._leaving = ''
        self._fault: RuntimeError | None = None
        self._tasks = TaskSet()
        for name in models:
            self._keep_copies(name)

    @property
    def holdings(self) -> Holdings:
        """What a report would tell now."""
        return Holdings(
            self.sequence,
            {name: frozenset(held) for name, held in self.models.items()},
            frozenset(self.coming),
            frozenset(self._in_memory),
            frozenset(self._on_disk),
            self.is_busy,
        )

    def submit(self, run: Run) -> bool:
        """Take a run; ``False`` when its model or adapter isn't here."""
        model, adapter = run.target
        held = self.models.get(model)
        if held is None or model == self._leaving:
            return False
        if adapter and adapter not in held:
            return False
        self._queue.append(run)
        self._queue.sort(key=_urgency_of)
        if not self._is_stepping:
            self._is_stepping = True
            self._tasks.spawn(self._step_on())
        return True

    def drop(self, run: Run) -> None:
        """End a run whose caller has left."""
        for runs in (self._queue, self._batch):
            if run in runs:
                runs.remove(run)
        run.end(is_whole=False)

    def give(self, order: ModelOrder, expected: int) -> bool:
        """Take an order, or refuse it when it comes at the wrong time."""
        if expected != self.sequence or self.is_busy:
            return False
        self.sequence += 1
        match order:
            case LoadModel(model=model):
                self.is_busy = True
                self._tasks.spawn(self._load(model))
            case UnloadModel(model=model):
                self.is_busy = True
                self._leaving = model
                self._tasks.spawn(self._unload(model))
            case LoadAdapter(model=model, adapter=adapter):
                self.coming.add((model, adapter))
                self._check_room()
                self._tasks.spawn(self._load_adapter(model, adapter))
            case UnloadAdapter(model=model, adapter=adapter):
                self.models[model].discard(adapter)
        return True

    def raise_fault(self) -> None:
        """Raise the error at which a replica would have crashed, if any."""
        if self._fault is not None:
            raise self._fault

    def crash(self) -> None:
        """Lose everything that runs and all models; the disk stays."""
        self._tasks.cancel()
        dropped = [*self._queue, *self._batch]
        for run in dropped:
            run.end(is_whole=False)
        self._queue.clear()
        self._batch.clear()
        self._cached.clear()
        self._in_memory.clear()
        self.models.clear()
        self.coming.clear()
        self.is_busy = False
        self._is_stepping = False
        self._leaving = ''
        self.sequence = 0

    async def _step_on(self) -> None:
        while self._queue or self._batch:
            self._admit()
            read = self._read_prompts()
            await asyncio.sleep(
                _STEP_S
                + _STEP_PER_REQUEST_S * len(self._batch)
                + read / _PREFILL_TOKENS_PER_S,
            )
            now = asyncio.get_running_loop().time()
            for run in tuple(self._batch):
                if not run.unread:
                    self._make_token(run, now)
        self._is_stepping = False

    def _admit(self) -> None:
        used = sum(run.tokens for run in self._batch)
        while self._queue and len(self._batch) < self._spec.slots:
            run = self._queue[0]
            if self._batch and used + run.tokens > self._spec.cache_tokens:
                return
            self._queue.pop(0)
            run.unread = self._count_unread(run)
            used += run.tokens
            self._batch.append(run)

    def _count_unread(self, run: Run) -> int:
        """Count the prompt tokens after the last part that is kept."""
        unread = sum(count for _, count in run.parts)
        for name, count in run.parts:
            if (run.target, name) not in self._cached:
                break
            unread -= count
        return max(1, unread)

    def _read_prompts(self) -> int:
        left = _CHUNK_TOKENS
        for run in self._batch:
            if run.unread and left:
                taken = min(run.unread, left)
                run.unread -= taken
                left -= taken
                if not run.unread:
                    self._cached.update(
                        (run.target, name) for name, _ in run.parts
                    )
        return _CHUNK_TOKENS - left

    def _make_token(self, run: Run, now: float) -> None:
        run.made += 1
        if run.made == 1:
            run.first_at = now
            run.last_at = now
            run.on_first()
        elif run.made % self._tokens_per_event == 0:
            run.longest_gap_s = max(run.longest_gap_s, now - run.last_at)
            run.last_at = now
        if run.made >= run.output_tokens:
            self._batch.remove(run)
            run.end(is_whole=True)

    async def _load(self, model: str) -> None:
        known = self._spec.models[model]
        self._check_room(model)
        if model in self._in_memory:
            await asyncio.sleep(known.memory_load_s)
        elif model in self._on_disk:
            await asyncio.sleep(known.disk_load_s)
        else:
            await self._store.load(known.load_s)
        self.models[model] = set()
        self._keep_copies(model)
        self._finish_order()

    async def _unload(self, model: str) -> None:
        await asyncio.sleep(_UNLOAD_S)
        runs = [
            run.ended
            for run in (*self._queue, *self._batch)
            if run.target[0] == model
        ]
        if runs:
            await asyncio.wait(runs)
        self.models.pop(model)
        self._cached = {row for row in self._cached if row[0][0] != model}
        self._leaving = ''
        self._finish_order()

    async def _load_adapter(self, model: str, adapter: str) -> None:
        await asyncio.sleep(_ADAPTER_S)
        self.coming.discard((model, adapter))
        held = self.models.get(model)
        if held is not None:
            held.add(adapter)

    def _finish_order(self) -> None:
        self.is_busy = False
        self.on_change()

    def _check_room(self, coming: str = '') -> None:
        """Note the fault for which a replica would crash."""
        names = {*self.models, coming} - {''}
        used = sum(self._spec.models[name].memory_mb for name in names)
        adapters = sum(map(len, self.models.values())) + len(self.coming)
        if used > self._spec.memory_mb:
            self._fault = RuntimeError(f'{sorted(names)} do not fit.')
        if adapters > self._spec.adapter_places:
            self._fault = RuntimeError(f'{adapters} adapters do not fit.')

    def _keep_copies(self, model: str) -> None:
        for kept, most in (
            (self._in_memory, _MEMORY_MODELS),
            (self._on_disk, _DISK_MODELS),
        ):
            kept[model] = None
            kept.move_to_end(model)
            while len(kept) > most:
                kept.popitem(last=False)


def _urgency_of(run: Run) -> int:
    return run.urgency
