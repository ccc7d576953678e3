"""Routes and services as the operator publishes them."""

from collections.abc import Mapping
from enum import StrEnum, unique

import attrs


@unique
class RequestKind(StrEnum):
    """What may be repeated, and how the answer comes."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@attrs.frozen
class RouteTarget:
    """A service that a route leads to, with its share of the requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests of a host and path prefix go; times in seconds.

    ``timeout_s`` is the longest time that a request is kept waiting,
    ``objective_s`` the time to the answer, or to its first event, that earns
    full credit. ``longest_gap_s`` is the longest pause between events of a
    stream that is still on time. Priority 0 is the most urgent. ``attempts``
    bounds the replicas that may run one request.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    targets: tuple[RouteTarget, ...]
    timeout_s: float
    objective_s: float
    priority: int = 5
    attempts: int = 1
    is_resumable: bool = False
    longest_gap_s: float = 0

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run can be sent once more."""
        match self.kind:
            case RequestKind.IDEMPOTENT:
                return True
            case RequestKind.STREAMING:
                return self.is_resumable
        return False


@attrs.frozen
class ModelSpec:
    """A model's size in MB and its load times in seconds.

    ``load_s`` is from the weight store, ``disk_load_s`` from the replica's
    disk and ``memory_load_s`` from its host memory.
    """

    name: str
    memory_mb: float
    load_s: float
    disk_load_s: float
    memory_load_s: float
    adapters: int = 0
    adapter_mb: float = 0

    @property
    def adapter_names(self) -> tuple[str, ...]:
        """The names of its adapters, from ``a1`` on."""
        return tuple(f'a{number + 1}' for number in range(self.adapters))


@attrs.frozen
class EngineSpec:
    """What the replicas of a model service can hold and run.

    ``memory_mb`` is shared by weights and adapters; ``loads_per_s`` is the
    rate of the weight store over all replicas.
    """

    slots: int
    cache_tokens: int
    memory_mb: float
    adapter_places: int
    loads_per_s: float
    models: Mapping[str, ModelSpec]


@attrs.frozen
class Service:
    """A service; ``engine`` is ``None`` for a plain one."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


@attrs.frozen
class RequestLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 5
    idle_timeout_s: float = 60


@attrs.frozen
class RoutingConfiguration:
    """One whole version of the operator's routes, services and limits."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: RequestLimits = RequestLimits()
    _by_host: dict[str, dict[str, Route]] = attrs.field(
        init=False, factory=dict, eq=False, repr=False
    )

    def __attrs_post_init__(self) -> None:
        """Index the routes by host and prefix."""
        for route in self.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of a path."""
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        end = path.rfind('/') + 1
        while end > 0:
            route = by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None
