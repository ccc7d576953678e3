"""TLS between the system's processes and towards callers."""

from bramleybeam.trust._contexts import KEY_PERIOD_S, TrustStore

__all__ = ['KEY_PERIOD_S', 'TrustStore']
