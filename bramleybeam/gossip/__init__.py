"""Distributes the configuration to every process over its links."""

from bramleybeam.gossip._configuration import ConfigurationGossip

__all__ = ['ConfigurationGossip']
