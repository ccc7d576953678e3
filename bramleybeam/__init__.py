"""Serves many models and their adapters on fewer accelerators.

The package holds every process between callers and upstreams: the entry
that takes callers' requests, the agent beside each upstream, and the client
for operators. The platform keeps the configuration.
"""

__version__ = '0.1.0'
