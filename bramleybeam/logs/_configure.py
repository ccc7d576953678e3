"""Configures structlog to write JSON lines to standard output."""

import logging
import sys
from typing import TextIO, cast

import structlog

from bramleybeam.logs._sink import LogSink


def configure_logs(
    level: str = 'info',
    stream: TextIO | None = None,
    **bound: str,
) -> None:
    """Write JSON lines at ``level`` and above, each with ``bound`` fields.

    Lines go to ``stream``, by default standard output. When its reader is too
    slow, lines are dropped and counted; logging never blocks.
    """
    sink = cast(TextIO, LogSink((stream or sys.stdout).fileno()))
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()],
        ),
        logger_factory=structlog.WriteLoggerFactory(file=sink),
    )
    structlog.contextvars.bind_contextvars(**bound)
