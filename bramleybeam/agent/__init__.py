"""The agent process, the only process that calls its upstream."""

from bramleybeam.agent._daemon import AgentDaemon
from bramleybeam.agent._reporter import MAX_IN_FLIGHT

__all__ = ['MAX_IN_FLIGHT', 'AgentDaemon']
