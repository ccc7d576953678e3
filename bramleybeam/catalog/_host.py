"""Settings of a process, given by the platform of its host."""

import attrs


@attrs.frozen
class TimeBounds:
    """Time limits of the deployment, in seconds.

    ``grace_s`` is the time that a process has to stop. ``order_pause_s`` is
    how long a new planner waits after the last order of its predecessor;
    ``order_window_s`` and ``retry_window_s`` are the windows in which loads
    and retries are counted. ``revocation_s`` is how long a key that was taken
    away may still be served by a gateway that can't hear of it; ``None`` if that
    isn't limited.
    """

    drain_s: float = 2
    grace_s: float = 8
    configuration_s: float = 2
    order_pause_s: float = 3
    order_window_s: float = 5
    retry_window_s: float = 10
    revocation_s: float | None = None


@attrs.frozen
class QuotaBounds:
    """How far the use of a quota may exceed it, over all gateways together.

    In any ``window_s`` seconds, by the share ``excess_share`` of what the quota
    allows in that time, and ``allowance`` units more.
    """

    window_s: float = 8
    excess_share: float = 0.1
    allowance: float = 0


@attrs.frozen
class HostSettings:
    """Addresses, zone and limits of one process of the deployment.

    Addresses are ``IP:PORT``. Retries to one service stay under
    ``retry_ratio`` of its requests plus ``retry_allowance`` in a window,
    summed over all hosts. ``replicas_check_epochs`` is whether replicas
    refuse orders of an older epoch than they have seen. ``max_descriptors``
    limits the open file descriptors. ``link_bytes_per_s`` is the rate of the
    host's network link, 0 if it isn't configured. ``metrics_listen`` is the
    address at which metrics are served, empty for none. ``memory_mb`` is the
    memory that the process may use, 0 if it isn't limited.
    """

    name: str
    zone: str
    ip_address: str
    listen: str
    readiness_listen: str
    peer_port: int
    store_address: str
    bounds: TimeBounds
    retry_ratio: float = 0.2
    retry_allowance: float = 50
    load_excess: float = 1.1
    replicas_check_epochs: bool = False
    max_descriptors: int = 4096
    link_bytes_per_s: float = 0
    metrics_listen: str = ''
    memory_mb: float = 0
    quota_bounds: QuotaBounds = QuotaBounds()
