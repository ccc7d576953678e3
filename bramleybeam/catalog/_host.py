"""What a process is told about the host it runs on."""

import attrs


@attrs.frozen
class TimeBounds:
    """Promises of the deployment that are counted in time; seconds.

    ``order_pause_s`` is how long a new giver of orders waits after the last
    one; ``order_window_s`` the window in which loads are counted.
    """

    drain_s: float = 2
    grace_s: float = 8
    configuration_s: float = 2
    order_pause_s: float = 3
    order_window_s: float = 5
    retry_window_s: float = 10


@attrs.frozen
class HostSettings:
    """Addresses, place and promises of one process of the deployment.

    Addresses are ``IP:PORT``. Retries to one service stay under
    ``retry_ratio`` of its requests plus ``retry_allowance`` in a window,
    summed over all hosts. ``replicas_check_epochs`` tells whether replicas
    refuse orders of an older epoch than they have seen. ``link_bytes_per_s`` is
    the rate of the host's link, 0 when it isn't told.
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
