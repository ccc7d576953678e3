"""Seeded soak test of several gateways with stand-ins for the platform.

Callers reuse open connections while overlapping faults are injected. Then the
documented guarantees are checked on what callers and replicas recorded.
``python -m tests.soak --help`` lists the options for a run by hand.
"""

from tests.soak.run import Options, run_soak

__all__ = ['Options', 'run_soak']
