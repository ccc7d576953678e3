"""The process beside each upstream: the only one that talks to it."""

from bramleybeam.agent._daemon import AgentDaemon
from bramleybeam.agent._reporter import MAX_IN_FLIGHT

__all__ = ['MAX_IN_FLIGHT', 'AgentDaemon']
