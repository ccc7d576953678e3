"""The entry process: HTTP for callers, request routing and planning."""

from bramleybeam.entry._daemon import EntryDaemon
from bramleybeam.entry._hourly_report import (
    HOURLY_REPORT_SLOTS,
    hourly_report_key,
)

__all__ = ['HOURLY_REPORT_SLOTS', 'EntryDaemon', 'hourly_report_key']
