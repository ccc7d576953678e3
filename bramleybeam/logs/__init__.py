"""Structured logs: JSON lines, written without blocking the process."""

from bramleybeam.logs._configure import configure_logs
from bramleybeam.logs._sink import LogSink

__all__ = ['LogSink', 'configure_logs']
