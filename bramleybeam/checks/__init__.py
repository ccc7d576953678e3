"""Declared constraints of settings and documents, checked in one place."""

from bramleybeam.checks._check import Problem, check_parameters, describe
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
    'describe',
    'parameter',
]
