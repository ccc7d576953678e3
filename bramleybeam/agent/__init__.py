"""The agent process, which runs beside an upstream and alone calls it."""

from bramleybeam.agent._daemon import AgentDaemon
from bramleybeam.agent._reporter import MAX_IN_FLIGHT

__all__ = ['MAX_IN_FLIGHT', 'AgentDaemon']
