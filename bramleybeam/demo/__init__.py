"""Runs entries, agents and stand-ins of a deployment in one process."""

from bramleybeam.demo._cluster import DemoCluster, DemoOptions
from bramleybeam.demo._command import demo

__all__ = ['DemoCluster', 'DemoOptions', 'demo']
