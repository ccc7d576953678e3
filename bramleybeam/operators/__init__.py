"""The operators' client: applies documents and queries the deployment."""

from bramleybeam.operators._apply import (
    ApplyError,
    ApplyOutcome,
    apply_document,
)
from bramleybeam.operators._commands import ctl
from bramleybeam.operators._tables import format_table

__all__ = [
    'ApplyError',
    'ApplyOutcome',
    'apply_document',
    'ctl',
    'format_table',
]
