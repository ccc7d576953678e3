"""The content of a document: classes, models, adapters and upstreams.

Operators declare targets and properties of the deployment. Routing weights,
placements and addresses are not part of a document; the system determines
them. The texts of the parameters make up the settings reference.
"""

from functools import cached_property

import attrs

from bramleybeam.checks import Interval, Name, OneOf, parameter

_MEMORY_MB = Interval(1, 4_000_000, 'MB')


@attrs.frozen
class Deployment:
    """A deployment, its target for model moves and limits on loads."""

    name: str = parameter('Name of the deployment.', Name())
    moves_per_hour: float = parameter(
        'Target: at most so many moves of models an hour.',
        Interval(0, 100_000, '1/h'),
        default=120,
    )
    loads_per_second: float = parameter(
        'Loads that the weight store allows a second.',
        Interval(0.01, 10_000, '1/s'),
        default=2,
    )
    loads_at_once: int = parameter(
        'Loads that the weight store allows at the same time.',
        Interval(1, 10_000),
        default=4,
    )
    adapters_in_transit: int = parameter(
        'Adapters in transit before loads slow down.',
        Interval(1, 100_000),
        default=30,
    )


@attrs.frozen
class WorkClass:
    """A class of work and its latency targets."""

    name: str = parameter('Name of the class.', Name())
    answer_within_s: float = parameter(
        'Target: the first token, or a whole plain answer, within.',
        Interval(0.01, 86_400, 's'),
    )
    longest_wait_s: float = parameter(
        'A request that has not started by then is refused.',
        Interval(0.01, 86_400, 's'),
    )
    idempotent: bool = parameter('Whether a request may be run again.')


@attrs.frozen
class Model:
    """A model and the accelerator memory that it needs while resident."""

    name: str = parameter('Name that callers use.', Name())
    memory_mb: int = parameter('Accelerator memory.', _MEMORY_MB)
    pool: str = parameter('Pool of upstreams that run it.', Name())
    work_class: str = parameter(
        'Class of requests that name none.',
        Name(optional=True),
        default='',
    )


@attrs.frozen
class Adapter:
    """An adapter of a model; callers request it by name, like a model."""

    name: str = parameter('Name that callers use.', Name())
    model: str = parameter('The model that it adapts.', Name())
    memory_mb: int = parameter('Accelerator memory.', _MEMORY_MB)
    work_class: str = parameter(
        'Class of requests that name none.',
        Name(optional=True),
        default='',
    )


@attrs.frozen
class Upstream:
    """A model engine, or a replica of a plain HTTP service."""

    name: str = parameter('Name, as in the settings of its agent.', Name())
    pool: str = parameter('Pool, or the name of the plain service.', Name())
    kind: str = parameter(
        'Model engine or plain service.',
        OneOf(('engine', 'service')),
        default='engine',
    )
    accelerator_mb: int = parameter(
        'Accelerator memory; 0 for plain services.',
        Interval(0, 4_000_000, 'MB'),
        default=0,
    )
    checks_fencing: bool = parameter(
        'Whether it refuses orders with an old fencing number itself.',
        default=False,
    )


Target = Model | Adapter


# Without slots, because cached properties are stored in __dict__.
@attrs.frozen(slots=False)
class Document:
    """The whole configuration of a deployment, applied as one revision."""

    deployment: Deployment
    classes: tuple[WorkClass, ...] = ()
    models: tuple[Model, ...] = ()
    adapters: tuple[Adapter, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    drained: tuple[str, ...] = parameter(
        'Upstreams that operators take out of service.',
        default=(),
    )

    @cached_property
    def targets(self) -> tuple[Target, ...]:
        """Everything that callers can request by name: models, then adapters."""
        return (*self.models, *self.adapters)

    @cached_property
    def classes_by_name(self) -> dict[str, WorkClass]:
        """Classes of work by name."""
        return {work_class.name: work_class for work_class in self.classes}

    @cached_property
    def models_by_name(self) -> dict[str, Model]:
        """Models by name."""
        return {model.name: model for model in self.models}

    @cached_property
    def adapters_by_name(self) -> dict[str, Adapter]:
        """Adapters by name."""
        return {adapter.name: adapter for adapter in self.adapters}

    @cached_property
    def upstreams_by_name(self) -> dict[str, Upstream]:
        """Upstreams by name."""
        return {upstream.name: upstream for upstream in self.upstreams}

    @cached_property
    def services(self) -> frozenset[str]:
        """Names of the plain services."""
        return frozenset(
            upstream.pool
            for upstream in self.upstreams
            if upstream.kind == 'service'
        )
