"""Set up structured logs: one line of key=value pairs for each event."""

import logging
import sys

import structlog

from worksramp.log_writer import LogWriter

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def configure_logs(level: str, writer: LogWriter | None = None, **fixed: str) -> None:
    """Set up logging for the process.

    Args:
        level: lowest level that is logged, one of `LEVELS`; an unknown one stands for ``info``.
        writer: where lines are written, None for standard error.
        fixed: key=value pairs that are added to every line.
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
