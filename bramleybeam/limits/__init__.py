"""Limits on queueing, retries, overloaded replicas and bytes to a peer."""

from bramleybeam.limits._answer_durations import AnswerDurations
from bramleybeam.limits._byte_budget import ByteBudget
from bramleybeam.limits._queue_limits import (
    is_latency_tolerant,
    max_queue_wait,
    stream_idle_timeout,
)
from bramleybeam.limits._replica_pauses import Incarnation, PauseTable
from bramleybeam.limits._retry_budget import RetryBudget, RetryBudgets

__all__ = [
    'AnswerDurations',
    'ByteBudget',
    'Incarnation',
    'PauseTable',
    'RetryBudget',
    'RetryBudgets',
    'is_latency_tolerant',
    'max_queue_wait',
    'stream_idle_timeout',
]
