"""Constraints that settings and documents declare, and their checks."""

from bramleybeam.checks._check import (
    Problem,
    check_parameters,
    describe_parameters,
)
from bramleybeam.checks._constraints import (
    Address,
    Constraint,
    File,
    Interval,
    Name,
    OneOf,
    Url,
    parameter,
)

__all__ = [
    'Address',
    'Constraint',
    'File',
    'Interval',
    'Name',
    'OneOf',
    'Problem',
    'Url',
    'check_parameters',
    'describe_parameters',
    'parameter',
]
