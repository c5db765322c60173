"""Errors of calls over HTTP; their callers turn them into their own."""

from __future__ import annotations

from thornspool import exceptions


class TransportError(exceptions.ThornspoolError):
    """Base of the errors of a call over HTTP."""


class NotSent(TransportError):
    """Not one byte of the request was written, and none will be."""


class AnswerLost(TransportError):
    """The request may have been sent; no whole answer came back."""


class ConnectionBroken(AnswerLost):
    """The connection ended under the request; it did not time out."""
