"""Configures structlog to write JSON lines to standard error."""

import logging
import sys

import structlog


def configure_logs(level: str = 'info', **bound: str) -> None:
    """Write JSON lines at ``level`` and above, each with ``bound`` fields."""
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
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
    )
    structlog.contextvars.bind_contextvars(**bound)
