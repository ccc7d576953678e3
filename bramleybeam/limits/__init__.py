"""Limits of waiting and of retries, as pure functions and counters."""

from bramleybeam.limits._byte_budget import ByteBudget
from bramleybeam.limits._patience import (
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
