"""The gateway process: entry hosts on the users' platform."""

from bramleybeam.gateway._daemon import GatewayDaemon

__all__ = ['GatewayDaemon']
