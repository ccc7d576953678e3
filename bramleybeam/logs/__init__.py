"""Structured logs: JSON lines that never hold a process up."""

from bramleybeam.logs._configure import configure_logs
from bramleybeam.logs._sink import LogSink

__all__ = ['LogSink', 'configure_logs']
