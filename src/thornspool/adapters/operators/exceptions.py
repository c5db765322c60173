"""Errors of the operator API with their HTTP status codes."""

from __future__ import annotations

from thornspool import exceptions


class OperatorError(exceptions.ThornspoolError):
    """Base class for errors in responses to operators.

    Attributes
    ----------
    status : int
        HTTP status code.
    code : str
        Last part of the problem type.
    """

    status = 500
    code = 'internal'


class Unauthorized(OperatorError):
    """The request has no valid token."""

    status = 401
    code = 'unauthorized'


class Forbidden(OperatorError):
    """The token does not permit the request."""

    status = 403
    code = 'forbidden'


class NotFound(OperatorError):
    """The requested resource does not exist."""

    status = 404
    code = 'not-found'


class BadRequest(OperatorError):
    """The body or query of the request is invalid."""

    status = 400
    code = 'bad-request'


class Unavailable(OperatorError):
    """A dependency of the request is currently unavailable."""

    status = 503
    code = 'unavailable'
