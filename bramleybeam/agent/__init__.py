"""The process beside each upstream: the only one that talks to it."""

from bramleybeam.agent._daemon import AgentDaemon

__all__ = ['AgentDaemon']
