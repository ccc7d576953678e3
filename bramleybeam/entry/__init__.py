"""The process behind the balancer: callers' HTTP, routing and planning."""

from bramleybeam.entry._daemon import EntryDaemon

__all__ = ['EntryDaemon']
