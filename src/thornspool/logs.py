"""Configuration of the logs, which hold one logfmt line per event."""

from __future__ import annotations

import logging
import sys
import typing

import structlog

from thornspool import clock
from thornspool import log_outputs

_KEY_ORDER = ['timestamp', 'level', 'event']


def configure_logs(level: str, host: str, to_stdout: bool = False) -> None:
    """Configure the logs of the whole process.

    Parameters
    ----------
    level : str
        Lowest level to log: ``debug``, ``info``, ``warning`` or ``error``.
    host : str
        Host name, added to each line.
    to_stdout : bool, optional
        Whether to write to standard output, where lines that the reader does
        not consume in time are dropped and counted. By default, lines go to
        standard error.
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
        logger_factory=_make_logger_factory(to_stdout),
        cache_logger_on_first_use=True,
    )


def _make_logger_factory(to_stdout: bool) -> typing.Any:
    if not to_stdout:
        return structlog.WriteLoggerFactory(file=sys.stderr)
    output = log_outputs.BoundedOutput(sys.stdout.fileno(), clock.Clock())
    return lambda *_arguments: output
