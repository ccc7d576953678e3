"""Identities of processes and of their incarnations."""

from bramleybeam.identity._identity import make_identity, make_unique_id

__all__ = ['make_identity', 'make_unique_id']
