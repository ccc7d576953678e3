"""Passes what every process must know from connection to connection."""

from bramleybeam.gossip._configuration import ConfigurationGossip

__all__ = ['ConfigurationGossip']
