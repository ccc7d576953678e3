"""Settings of the entry, the agent and the operators' client.

The texts of the parameters make up the settings reference.
"""

import attrs

from bramleybeam.checks import (
    Address,
    File,
    Interval,
    Name,
    OneOf,
    Url,
    parameter,
)
from bramleybeam.telemetry import TracingSettings

_LOG_LEVELS = OneOf(('debug', 'info', 'warning', 'error'))
_SHUTDOWN_LIMITS_S = Interval(0, 3600, 's')


@attrs.frozen
class TlsSettings:
    """Certificate files; without them the process uses plain TCP.

    A changed file is read again without a restart.
    """

    certificate: str = parameter(
        'PEM file of the certificate.',
        File(),
        default='',
    )
    private_key: str = parameter('PEM file of its key.', File(), default='')
    authority: str = parameter(
        'PEM file of who signs peers.',
        File(),
        default='',
    )


@attrs.frozen
class EntrySettings:
    """Settings of an entry."""

    name: str = parameter('Name of this process.', Name())
    zone: str = parameter('Availability zone of this host.', Name())
    region: str = parameter('Region of this host.', Name())
    keyvalue_url: str = parameter("The platform's key-value service.", Url())
    hosts_url: str = parameter("The platform's list of hosts.", Url())
    listen: str = parameter(
        "Address for callers' HTTP.",
        Address(),
        default='127.0.0.1:0',
    )
    operator_listen: str = parameter(
        'Address for operators and metrics.',
        Address(),
        default='127.0.0.1:0',
    )
    peer_listen: str = parameter(
        'Address for other processes of the system.',
        Address(),
        default='127.0.0.1:0',
    )
    peer_key: str = parameter(
        'Secret that the processes of the system share.',
        default='',
    )
    caller_keys: tuple[str, ...] = parameter(
        'Keys as CALLER:KEY; none means callers are not asked.',
        default=(),
    )
    operator_keys: tuple[str, ...] = parameter(
        'Keys as OPERATOR:KEY; none means operators are not asked.',
        default=(),
    )
    shutdown_s: float = parameter(
        'Longest time that a graceful shutdown takes.',
        _SHUTDOWN_LIMITS_S,
        default=120,
    )
    readiness_lead_s: float = parameter(
        'Time between failing readiness and refusing new requests.',
        _SHUTDOWN_LIMITS_S,
        default=5,
    )
    max_body_bytes: int = parameter(
        'Largest request body.',
        Interval(1024, 900_000, 'B'),
        default=512_000,
    )
    memory_mb: int = parameter(
        'Memory that the process may use.',
        Interval(100, 1_000_000, 'MB'),
        default=552,
    )
    max_connections: int = parameter(
        "Largest number of callers' connections.",
        Interval(10, 1_000_000),
        default=10_000,
    )
    log_level: str = parameter(
        'Least level logged.', _LOG_LEVELS, default='info'
    )
    seed: int = parameter(
        'Seed of random choices; 0 takes one from the system.',
        Interval(0, 2**63),
        default=0,
    )
    tls: TlsSettings = attrs.field(factory=TlsSettings)
    caller_tls: TlsSettings = attrs.field(factory=TlsSettings)
    tracing: TracingSettings = attrs.field(factory=TracingSettings)


@attrs.frozen
class AgentSettings:
    """Settings of an agent."""

    name: str = parameter('Name of this process.', Name())
    zone: str = parameter('Availability zone of this host.', Name())
    region: str = parameter('Region of this host.', Name())
    upstream: str = parameter('Upstream that it stands beside.', Name())
    upstream_url: str = parameter('Address of that upstream.', Url())
    listen: str = parameter(
        'Address for entries.',
        Address(),
        default='127.0.0.1:0',
    )
    operator_listen: str = parameter(
        'Address for readiness and metrics.',
        Address(),
        default='127.0.0.1:0',
    )
    peer_key: str = parameter(
        'Secret that the processes of the system share.',
        default='',
    )
    shutdown_s: float = parameter(
        'Longest time that a graceful shutdown takes.',
        _SHUTDOWN_LIMITS_S,
        default=120,
    )
    log_level: str = parameter(
        'Least level logged.', _LOG_LEVELS, default='info'
    )
    tls: TlsSettings = attrs.field(factory=TlsSettings)
    tracing: TracingSettings = attrs.field(factory=TracingSettings)


@attrs.frozen
class ClientSettings:
    """Settings of the operators' client."""

    keyvalue_url: str = parameter("The platform's key-value service.", Url())
    entry_url: str = parameter(
        'Operator address of any entry.',
        Url(optional=True),
        default='',
    )
    operator: str = parameter(
        'Name of the operator.', Name(), default='operator'
    )
    operator_key: str = parameter('Key of the operator.', default='')
