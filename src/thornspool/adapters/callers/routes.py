"""Routes of the callers' interface."""

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
    """Make the tornado application of callers.

    Parameters
    ----------
    context : context.CallerContext
        The use cases.

    Returns
    -------
    tornado.web.Application
        Application without a listener.
    """
    needs = {'context': context}
    return web.Application(
        [
            ('/v1/entries', handlers.EntriesHandler, needs),
            ('/v1/(health|ready)', handlers.HealthHandler, needs),
            (
                f'{_WORKSPACE}/models/{_NAME}/generate',
                streams.GenerateHandler,
                needs,
            ),
            (
                f'{_WORKSPACE}/services/{_NAME}/{_NAME}',
                handlers.OperationHandler,
                needs,
            ),
            (f'{_WORKSPACE}/keys', handlers.KeysHandler, needs),
            (
                f'{_WORKSPACE}/actions/([^/]+)',
                handlers.ActionHandler,
                needs,
            ),
        ],
        default_handler_class=problems.NotFoundHandler,
        log_function=lambda handler: None,
    )
