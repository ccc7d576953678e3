"""Priority of requests at upstreams."""

from typing import Final

from bramleybeam.documents import WorkClass

# Longest latency target, in seconds, of each priority, highest first.
_PRIORITY_LIMITS_S: Final = (1.0, 5.0, 60.0)
# Share of an upstream's limit that latency-tolerant work may use.
_TOLERANT_SHARE: Final = 0.7
# Longest latency target, in seconds, of work that isn't latency-tolerant.
_URGENT_WITHIN_S: Final = 60.0


def priority_of(work_class: WorkClass) -> int:
    """Return the engine priority of a work class; higher runs first."""
    highest = len(_PRIORITY_LIMITS_S)
    for index, limit in enumerate(_PRIORITY_LIMITS_S):
        if work_class.answer_within_s <= limit:
            return highest - index
    return 0


def limit_share_of(work_class: WorkClass) -> float:
    """Return the share of an upstream's limit that a work class may use.

    Latency-tolerant work uses only a part of the limit, so that capacity
    remains for urgent work.
    """
    if work_class.answer_within_s > _URGENT_WITHIN_S:
        return _TOLERANT_SHARE
    return 1
