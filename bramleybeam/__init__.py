"""Serves many models and their adapters on fewer accelerators.

The package contains the processes between callers and upstreams: the entry,
which accepts requests of callers, and the agent, which runs beside each
upstream. It also contains the command-line client for operators. The
configuration is stored in the key-value service of the platform.
"""

__version__ = '0.1.0'
