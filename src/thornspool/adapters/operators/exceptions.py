"""Errors of the operators' interface, each with its HTTP status."""

from __future__ import annotations

from thornspool import exceptions


class OperatorError(exceptions.ThornspoolError):
    """Base of the errors that operators are answered with.

    Attributes
    ----------
    status : int
        HTTP status.
    code : str
        Last part of the problem's type.
    """

    status = 500
    code = 'internal'


class Unauthorized(OperatorError):
    """The request carries no token that is known."""

    status = 401
    code = 'unauthorized'


class Forbidden(OperatorError):
    """The token does not allow this."""

    status = 403
    code = 'forbidden'


class NotFound(OperatorError):
    """There is nothing at this address."""

    status = 404
    code = 'not-found'


class BadRequest(OperatorError):
    """The request's body or query cannot be read."""

    status = 400
    code = 'bad-request'


class Unavailable(OperatorError):
    """What the answer needs cannot be reached now."""

    status = 503
    code = 'unavailable'
