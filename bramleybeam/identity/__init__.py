"""Names a process and each of its incarnations."""

from bramleybeam.identity._identity import make_identity, make_unique_id

__all__ = ['make_identity', 'make_unique_id']
