"""Typed error kinds and refusals, each with a remedy for the caller."""

from bramleybeam.errors._kinds import ErrorKind, Execution, describe_kind
from bramleybeam.errors._refusal import Refusal, refuse

__all__ = ['ErrorKind', 'Execution', 'Refusal', 'describe_kind', 'refuse']
