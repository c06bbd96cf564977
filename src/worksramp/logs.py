"""Structured logs: one line of key=value pairs for each event, on standard error."""

import logging
import sys

import structlog

from worksramp.log_writer import LogWriter

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def configure_logs(level: str, writer: LogWriter | None = None, **fixed: str) -> None:
    """Set up logging for a process; ``fixed`` pairs stand in every line.

    Args:
        writer: takes the lines; standard error when there is none.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS.get(level, logging.INFO)),
        logger_factory=structlog.PrintLoggerFactory(file=writer or sys.stderr),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**fixed)
