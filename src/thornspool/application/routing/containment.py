"""Containment of errors to the request or the callback that raises them.

One turn of the event loop handles many requests. Without containment, an error
in one of them keeps the others from their turn, and leaves a request that
nothing ends.
"""

from __future__ import annotations

import contextlib
import typing

import structlog

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from thornspool.application.routing import exchanges

logger = structlog.get_logger(__name__)


@contextlib.contextmanager
def end_on_error(
    exchange: exchanges.Exchange, release: Callable[[], None]
) -> Iterator[None]:
    """End a request if an error occurs while it is handled.

    Parameters
    ----------
    exchange : exchanges.Exchange
        The request; its caller gets an answer or a closed connection.
    release : callable
        Ends the runs of the request and drops it.
    """
    try:
        yield
    except Exception:
        logger.exception('request_failed', id=exchange.request.id)
        with contain_error():
            release()
        with contain_error():
            exchange.break_off()


@contextlib.contextmanager
def contain_error() -> Iterator[None]:
    """Log an error of a callback and drop it."""
    try:
        yield
    except Exception:
        logger.exception('callback_failed')
