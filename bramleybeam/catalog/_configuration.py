"""Routes, services and limits of the operator's configuration."""

from collections.abc import Mapping
from enum import StrEnum, unique

import attrs

from bramleybeam.catalog._workspaces import Workspace, WorkspaceDirectory


@unique
class RequestKind(StrEnum):
    """Whether a request may be repeated and whether its answer is streamed."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@attrs.frozen
class RouteTarget:
    """A service that a route sends requests to, with its relative weight."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Targets and limits of requests with a given host and path prefix.

    Times are in seconds. ``timeout_s`` is the longest time that a request is
    kept waiting, ``objective_s`` the target time to the answer or, of a
    stream, to its first event. ``longest_gap_s`` is the longest pause between
    the events of a stream that still counts as on time. Priority 0 is the
    most urgent. ``attempts`` limits how many replicas may run one request.
    ``is_public`` is whether callers need no key.
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
    is_public: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run can be sent again."""
        match self.kind:
            case RequestKind.IDEMPOTENT:
                return True
            case RequestKind.STREAMING:
                return self.is_resumable
        return False


@attrs.frozen
class ModelSpec:
    """A model's size in MB and its load times in seconds.

    ``load_s`` is the load time from the weight store, ``disk_load_s`` from
    the disk of the replica's host and ``memory_load_s`` from the host's
    memory. ``adapters`` is the number of adapters, of ``adapter_mb`` each.
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
        """Names of the model's adapters: ``a1``, ``a2`` and so on."""
        return tuple(f'a{number + 1}' for number in range(self.adapters))


@attrs.frozen
class EngineSpec:
    """Capacity of each replica of a model service, and its models.

    ``slots`` is the number of requests that a replica runs concurrently,
    ``cache_tokens`` the size of its key-value cache. ``memory_mb`` is shared
    by weights and adapters, and ``adapter_places`` is the number of adapters
    that a replica can hold. ``loads_per_s`` is the rate of loads from the
    weight store over all replicas together.
    """

    slots: int
    cache_tokens: int
    memory_mb: float
    adapter_places: int
    loads_per_s: float
    models: Mapping[str, ModelSpec]


@attrs.frozen
class Service:
    """A service; ``engine`` is ``None`` if it does not serve models."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


@attrs.frozen
class RequestLimits:
    """Size limits (bytes) and time limits (seconds) on callers' requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 5
    idle_timeout_s: float = 60


@attrs.frozen
class RoutingConfiguration:
    """One complete version of the operator's routes, services and limits.

    ``workspaces`` is ``None`` if callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: RequestLimits = RequestLimits()
    workspaces: WorkspaceDirectory | None = attrs.field(
        default=None, eq=False, repr=False
    )
    _by_host: dict[str, dict[str, Route]] = attrs.field(
        init=False, factory=dict, eq=False, repr=False
    )
    _prefix_lengths: dict[str, list[int]] = attrs.field(
        init=False, factory=dict, eq=False, repr=False
    )

    def __attrs_post_init__(self) -> None:
        """Index the routes by host and path prefix."""
        for route in self.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route
        for host, by_prefix in self._by_host.items():
            lengths = {len(prefix) for prefix in by_prefix}
            self._prefix_lengths[host] = sorted(lengths, reverse=True)

    @property
    def requires_keys(self) -> bool:
        """Whether callers need a key, except on public routes."""
        return self.workspaces is not None

    def find_workspace(self, key: bytes) -> Workspace | None:
        """Return the workspace that a key opens, ``None`` if it opens none."""
        return self.workspaces.find(key) if self.workspaces else None

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of ``path``.

        The time depends on the lengths that prefixes have, and not on the path:
        callers choose that.
        """
        by_prefix = self._by_host.get(host, {})
        for length in self._prefix_lengths.get(host, ()):
            route = by_prefix.get(path[:length])
            if route is not None:
                return route
        return None
