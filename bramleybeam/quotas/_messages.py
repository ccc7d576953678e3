"""The messages by which gateways ask the coordinator for parts of quotas."""

import attrs


@attrs.frozen
class DemandRow:
    """What a gateway has and wants of one workspace's quota.

    ``held`` is its balance, with what is reserved by requests that have not
    reached a replica, and what reached one so recently that the replica may
    still refuse it; ``spare`` is the part that no request needs. ``waiting`` is
    what requests wait for beyond the balance, ``first`` the part of it that the
    first of them needs, and ``reserve`` what the gateway wants beyond that.
    ``unit_cost`` is the typical cost of a request. ``returned`` is what the
    gateway gave up since its last request. ``answered`` is the sequence number
    of the last answer for this workspace that it accepted; it will never accept
    an earlier one.
    """

    held: int
    spare: int = 0
    waiting: int = 0
    first: int = 0
    reserve: int = 0
    unit_cost: int = 1
    returned: int = 0
    answered: int = 0


@attrs.frozen
class QuotaRequest:
    """The rows of a gateway, for the coordinator of an epoch.

    ``incarnation`` is a random number of the process. ``is_complete`` is
    whether the coordinator has been told, with this request, of all that the
    gateway holds.
    """

    epoch: int
    incarnation: int
    sequence: int
    is_complete: bool = True
    rows: dict[str, DemandRow] = attrs.field(factory=dict)


@attrs.frozen
class GrantRow:
    """What a coordinator grants of a quota.

    ``amount`` is negative if the gateway has to give up part of its balance,
    because the limit has fallen. ``wait_s`` is the time in seconds until unmet
    demand can be met, ``None`` if there is none.
    """

    amount: int
    wait_s: float | None = None


@attrs.frozen
class QuotaGrant:
    """The answer to one request, or the announcement of a coordinator.

    An announcement has the sequence number 0. ``version`` is that of the
    configuration from which the coordinator has its limits. ``interval_s`` is the time after
    which a gateway may ask for reserves again. ``is_granting`` is ``False``
    while the coordinator waits until it knows all balances.
    """

    epoch: int
    incarnation: int = 0
    sequence: int = 0
    version: int = 0
    interval_s: float = 0
    is_granting: bool = False
    rows: dict[str, GrantRow] = attrs.field(factory=dict)
