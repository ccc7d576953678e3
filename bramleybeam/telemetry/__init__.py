"""Structured logs, metrics and trace spans of a process."""

from bramleybeam.logs import configure_logs
from bramleybeam.telemetry._metrics import Metrics
from bramleybeam.telemetry._traces import Tracing, TracingSettings

__all__ = ['Metrics', 'Tracing', 'TracingSettings', 'configure_logs']
