"""Set up structured logs, one JSON object a line."""

import logging
import sys
from typing import TextIO, cast

import structlog

from dragonflyknot.daemon.logoutput import LogOutput


def configure_logs(
    level: str, host: str, output: TextIO = sys.stderr
) -> LogOutput:
    """Write logs of at least a level, each with the name of the host."""
    lines = LogOutput(output.fileno())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(file=cast(TextIO, lines)),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(host=host)
    return lines
