"""Durable claims of idempotency keys, committed in batches."""

from bramleybeam.claims._committer import ClaimCommitter
from bramleybeam.claims._log import ClaimLog
from bramleybeam.claims._router import PARTITIONS, ClaimRouter, partition_of

__all__ = [
    'PARTITIONS',
    'ClaimCommitter',
    'ClaimLog',
    'ClaimRouter',
    'partition_of',
]
