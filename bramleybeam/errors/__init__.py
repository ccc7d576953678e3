"""Typed error kinds whose messages name the remedy."""

from bramleybeam.errors._kinds import ErrorKind, Execution, describe_kind
from bramleybeam.errors._refusal import Refusal, refuse

__all__ = ['ErrorKind', 'Execution', 'Refusal', 'describe_kind', 'refuse']
