"""TLS contexts for links between processes and for callers."""

from bramleybeam.trust._contexts import KEY_CHECK_PERIOD_S, TrustStore

__all__ = ['KEY_CHECK_PERIOD_S', 'TrustStore']
