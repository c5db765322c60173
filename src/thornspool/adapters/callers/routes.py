"""Routes of the caller API."""

from __future__ import annotations

import typing

from tornado import web

from thornspool.adapters import problems
from thornspool.adapters.callers import handlers
from thornspool.adapters.callers import streams

if typing.TYPE_CHECKING:
    from thornspool.adapters.callers import context

_NAME = '([a-z0-9][a-z0-9.-]*)'
_WORKSPACE = f'/v1/workspaces/{_NAME}'


def make_application(context: context.CallerContext) -> web.Application:
    """Build the tornado application of the caller API.

    Parameters
    ----------
    context : context.CallerContext
        Dependencies of the handlers.

    Returns
    -------
    tornado.web.Application
        Application without a listener.
    """
    arguments = {'context': context}
    return web.Application(
        [
            ('/v1/entries', handlers.EntriesHandler, arguments),
            ('/v1/(health|ready)', handlers.HealthHandler, arguments),
            (
                f'{_WORKSPACE}/models/{_NAME}/generate',
                streams.GenerateHandler,
                arguments,
            ),
            (
                f'{_WORKSPACE}/services/{_NAME}/{_NAME}',
                handlers.OperationHandler,
                arguments,
            ),
            (f'{_WORKSPACE}/keys', handlers.KeysHandler, arguments),
            (
                f'{_WORKSPACE}/actions/([^/]+)',
                handlers.ActionHandler,
                arguments,
            ),
        ],
        default_handler_class=problems.NotFoundHandler,
        log_function=lambda handler: None,
    )
