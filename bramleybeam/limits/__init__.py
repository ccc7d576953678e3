"""Limits on queueing time, retries and bytes sent to a peer."""

from bramleybeam.limits._byte_budget import ByteBudget
from bramleybeam.limits._queue_limits import (
    is_latency_tolerant,
    max_queue_wait,
    stream_idle_timeout,
)
from bramleybeam.limits._retry_budget import RetryBudget

__all__ = [
    'ByteBudget',
    'RetryBudget',
    'is_latency_tolerant',
    'max_queue_wait',
    'stream_idle_timeout',
]
