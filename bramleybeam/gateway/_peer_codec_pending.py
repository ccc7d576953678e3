"""JSON form of what requests wait for, in messages between gateways."""

from typing import Any

from bramleybeam.gateway._pending_demand import PendingDemand, PendingTarget
from bramleybeam.orders import PinnedTarget

# Parts of the name of a target that is needed at one software version.
_PINNED_PARTS = 3


def encode_pending(pending: PendingDemand) -> dict[str, list[float]]:
    """Return the count and the unserved time in seconds of each target."""
    return {
        _encode_target(target): [
            count,
            round(pending.unserved_s.get(target, 0), 1),
        ]
        for target, count in pending.waiting.items()
    }


def decode_pending(fields: dict[str, Any]) -> PendingDemand:
    """Return the demand; raises the errors of fields of another type."""
    waiting: dict[PendingTarget, int] = {}
    unserved_s: dict[PendingTarget, float] = {}
    for key, (count, age_s) in fields.items():
        target = _decode_target(key)
        waiting[target] = int(count)
        unserved_s[target] = float(age_s)
    return PendingDemand(waiting, unserved_s)


def _encode_target(target: PendingTarget) -> str:
    """Return ``MODEL/ADAPTER``, and ``/VERSION`` if only that can serve it."""
    if isinstance(target, PinnedTarget):
        return '/'.join((*target.target, target.version))
    return '/'.join(target)


def _decode_target(key: str) -> PendingTarget:
    names = key.split('/', _PINNED_PARTS - 1)
    if len(names) == _PINNED_PARTS:
        return PinnedTarget(*names)
    model, _, adapter = key.partition('/')
    return model, adapter
