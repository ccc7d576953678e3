"""The process behind the balancer: callers' HTTP, routing and planning."""

from bramleybeam.entry._daemon import EntryDaemon
from bramleybeam.entry._journal import SLOTS, journal_key

__all__ = ['SLOTS', 'EntryDaemon', 'journal_key']
