"""Logs: one line of key=value pairs an event, on standard error."""

from __future__ import annotations

import logging
import sys

import structlog

_KEY_ORDER = ['timestamp', 'level', 'event']


def configure_logs(level: str, host: str) -> None:
    """Set the log format of the whole process.

    Parameters
    ----------
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    host : str
        Bound to each line.
    """
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(host=host)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=_KEY_ORDER, bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
