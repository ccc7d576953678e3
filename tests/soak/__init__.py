"""A seeded soak of many gateways between the stand-ins of the platform.

Callers keep using open connections, faults come in series and overlap, and
the promises of the pages are checked from what callers and replicas saw.
``python -m tests.soak --help`` runs it by hand.
"""

from tests.soak.run import Options, run_soak

__all__ = ['Options', 'run_soak']
