"""Simulated engine with continuous batching and weight loading."""

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
from bramleybeam.simulation._engine_request import EngineRequest
from bramleybeam.simulation._weight_store import WeightStore
from bramleybeam.timers import TaskSet

# Duration of a decoding step with an empty batch, and what each request in the
# batch adds. The operators state these values for the engines of both sites.
_BASE_STEP_S: Final = 0.0101
_STEP_PER_REQUEST_S: Final = 0.0000328
_PREFILL_TOKENS_PER_S: Final = 20_400.0
# Most prompt tokens that are processed in one step (chunked prefill).
_PREFILL_CHUNK_TOKENS: Final = 1024
# Duration of the load of an adapter and of the unload of a model.
_ADAPTER_LOAD_S: Final = 0.02
_UNLOAD_S: Final = 0.05
# Most models whose weights are cached in host memory and on disk; the least
# recently loaded one is dropped first.
_MAX_MEMORY_MODELS: Final = 2
_MAX_DISK_MODELS: Final = 6


class EngineModel:
    """Processes requests in a batch and executes one model order at a time.

    No order is accepted while a model is loaded or unloaded; several adapters
    may load at the same time. ``models`` maps the loaded models to their
    loaded adapters, ``sequence`` counts the accepted orders since the start,
    and ``arriving_adapters`` are the adapters that are being loaded, as
    (model, adapter). ``on_change`` is called after each load or unload of a
    model.
    """

    def __init__(
        self,
        spec: EngineSpec,
        store: WeightStore,
        models: tuple[str, ...],
        tokens_per_event: int = 2,
    ) -> None:
        """Start with some models loaded and their weights cached."""
        self.models: dict[str, set[str]] = {name: set() for name in models}
        self.sequence = 0
        self.arriving_adapters: set[Target] = set()
        self.is_busy = False
        self.on_change: Callable[[], None] = lambda: None
        self._spec = spec
        self._store = store
        self._tokens_per_event = tokens_per_event
        self._in_memory: OrderedDict[str, None] = OrderedDict()
        self._on_disk: OrderedDict[str, None] = OrderedDict()
        self._queue: list[EngineRequest] = []
        self._batch: list[EngineRequest] = []
        self._cached_parts: set[tuple[Target, str]] = set()
        self._is_running = False
        self._evicting_model = ''
        self._capacity_error: RuntimeError | None = None
        self._tasks = TaskSet()
        for name in models:
            self._cache_weights(name)

    @property
    def holdings(self) -> Holdings:
        """Current holdings, as the engine's next report has them."""
        return Holdings(
            self.sequence,
            {
                name: frozenset(adapter_names)
                for name, adapter_names in self.models.items()
            },
            frozenset(self.arriving_adapters),
            frozenset(self._in_memory),
            frozenset(self._on_disk),
            self.is_busy,
        )

    def submit(self, request: EngineRequest) -> bool:
        """Queue a request and return whether its model and adapter are loaded.

        A request for a model that is being unloaded is rejected too.
        """
        model, adapter = request.target
        adapter_names = self.models.get(model)
        if adapter_names is None or model == self._evicting_model:
            return False
        if adapter and adapter not in adapter_names:
            return False
        self._queue.append(request)
        self._queue.sort(key=_priority_of)
        if not self._is_running:
            self._is_running = True
            self._tasks.spawn(self._run_steps())
        return True

    def abort(self, request: EngineRequest) -> None:
        """End a request that its caller has abandoned."""
        for requests in (self._queue, self._batch):
            if request in requests:
                requests.remove(request)
        request.end(is_complete=False)

    def accept_order(self, order: ModelOrder, expected_sequence: int) -> bool:
        """Start an order and return whether it was accepted.

        It is rejected while a model is loaded or unloaded, and when
        ``expected_sequence`` isn't the number of orders accepted so far.
        """
        if expected_sequence != self.sequence or self.is_busy:
            return False
        self.sequence += 1
        match order:
            case LoadModel(model=model):
                self.is_busy = True
                self._tasks.spawn(self._load(model))
            case UnloadModel(model=model):
                self.is_busy = True
                self._evicting_model = model
                self._tasks.spawn(self._unload(model))
            case LoadAdapter(model=model, adapter=adapter):
                self.arriving_adapters.add((model, adapter))
                self._check_capacity()
                self._tasks.spawn(self._load_adapter(model, adapter))
            case UnloadAdapter(model=model, adapter=adapter):
                self.models[model].discard(adapter)
        return True

    def raise_capacity_error(self) -> None:
        """Raise the error of an order that exceeded the capacity, if any.

        A real replica would have crashed at that order.
        """
        if self._capacity_error is not None:
            raise self._capacity_error

    def crash(self) -> None:
        """End all requests and drop all models; the disk cache is kept."""
        self._tasks.cancel()
        dropped = [*self._queue, *self._batch]
        for request in dropped:
            request.end(is_complete=False)
        self._queue.clear()
        self._batch.clear()
        self._cached_parts.clear()
        self._in_memory.clear()
        self.models.clear()
        self.arriving_adapters.clear()
        self.is_busy = False
        self._is_running = False
        self._evicting_model = ''
        self.sequence = 0

    async def _run_steps(self) -> None:
        """Run steps until no request is queued or in the batch."""
        while self._queue or self._batch:
            self._admit()
            prefilled_tokens = self._prefill()
            await asyncio.sleep(
                _BASE_STEP_S
                + _STEP_PER_REQUEST_S * len(self._batch)
                + prefilled_tokens / _PREFILL_TOKENS_PER_S,
            )
            now = asyncio.get_running_loop().time()
            for request in tuple(self._batch):
                if not request.unread_tokens:
                    self._generate_token(request, now)
        self._is_running = False

    def _admit(self) -> None:
        """Move queued requests to the batch while slots and cache allow.

        A request that doesn't fit blocks those behind it. An empty batch
        admits a request of any size.
        """
        used_tokens = sum(request.reserved_tokens for request in self._batch)
        while self._queue and len(self._batch) < self._spec.slots:
            request = self._queue[0]
            if (
                self._batch
                and used_tokens + request.reserved_tokens
                > self._spec.cache_tokens
            ):
                return
            self._queue.pop(0)
            request.unread_tokens = self._count_unread(request)
            used_tokens += request.reserved_tokens
            self._batch.append(request)

    def _count_unread(self, request: EngineRequest) -> int:
        """Return the prompt tokens after the cached prefix, at least 1."""
        unread_tokens = sum(
            part_tokens for _, part_tokens in request.prompt_parts
        )
        for name, part_tokens in request.prompt_parts:
            if (request.target, name) not in self._cached_parts:
                break
            unread_tokens -= part_tokens
        return max(1, unread_tokens)

    def _prefill(self) -> int:
        """Process one chunk of prompts; return its size in tokens."""
        budget_tokens = _PREFILL_CHUNK_TOKENS
        for request in self._batch:
            if request.unread_tokens and budget_tokens:
                chunk_tokens = min(request.unread_tokens, budget_tokens)
                request.unread_tokens -= chunk_tokens
                budget_tokens -= chunk_tokens
                if not request.unread_tokens:
                    self._cached_parts.update(
                        (request.target, name)
                        for name, _ in request.prompt_parts
                    )
        return _PREFILL_CHUNK_TOKENS - budget_tokens

    def _generate_token(self, request: EngineRequest, now: float) -> None:
        """Generate a token, and send an event if one is due."""
        request.generated_tokens += 1
        if request.generated_tokens == 1:
            request.first_token_at = now
            request.last_event_at = now
            request.on_first_token()
        elif request.generated_tokens % self._tokens_per_event == 0:
            request.longest_gap_s = max(
                request.longest_gap_s, now - request.last_event_at
            )
            request.last_event_at = now
        if request.generated_tokens >= request.output_tokens:
            self._batch.remove(request)
            request.end(is_complete=True)

    async def _load(self, model: str) -> None:
        """Load a model from host memory, disk or the weight store."""
        model_spec = self._spec.models[model]
        self._check_capacity(model)
        if model in self._in_memory:
            await asyncio.sleep(model_spec.memory_load_s)
        elif model in self._on_disk:
            await asyncio.sleep(model_spec.disk_load_s)
        else:
            await self._store.load(model_spec.load_s)
        self.models[model] = set()
        self._cache_weights(model)
        self._finish_order()

    async def _unload(self, model: str) -> None:
        """Unload a model once its queued and running requests have ended."""
        await asyncio.sleep(_UNLOAD_S)
        unfinished = [
            request.ended
            for request in (*self._queue, *self._batch)
            if request.target[0] == model
        ]
        if unfinished:
            await asyncio.wait(unfinished)
        self.models.pop(model)
        self._cached_parts = {
            entry for entry in self._cached_parts if entry[0][0] != model
        }
        self._evicting_model = ''
        self._finish_order()

    async def _load_adapter(self, model: str, adapter: str) -> None:
        """Load an adapter, unless its model is unloaded in the meantime."""
        await asyncio.sleep(_ADAPTER_LOAD_S)
        self.arriving_adapters.discard((model, adapter))
        adapter_names = self.models.get(model)
        if adapter_names is not None:
            adapter_names.add(adapter)

    def _finish_order(self) -> None:
        """Accept orders again and report the changed holdings."""
        self.is_busy = False
        self.on_change()

    def _check_capacity(self, incoming_model: str = '') -> None:
        """Record an error when memory or adapter places are exceeded.

        ``incoming_model`` is a model that is about to be loaded.
        """
        names = {*self.models, incoming_model} - {''}
        used_mb = sum(self._spec.models[name].memory_mb for name in names)
        adapter_count = sum(map(len, self.models.values())) + len(
            self.arriving_adapters
        )
        if used_mb > self._spec.memory_mb:
            self._capacity_error = RuntimeError(
                f'{sorted(names)} exceed the memory of the engine.'
            )
        if adapter_count > self._spec.adapter_places:
            self._capacity_error = RuntimeError(
                f'{adapter_count} adapters exceed the adapter places.'
            )

    def _cache_weights(self, model: str) -> None:
        """Keep a model's weights in host memory and on disk."""
        for cache, capacity in (
            (self._in_memory, _MAX_MEMORY_MODELS),
            (self._on_disk, _MAX_DISK_MODELS),
        ):
            cache[model] = None
            cache.move_to_end(model)
            while len(cache) > capacity:
                cache.popitem(last=False)


def _priority_of(request: EngineRequest) -> int:
    """Return the sort key of queued requests; the lowest is first."""
    return request.priority
