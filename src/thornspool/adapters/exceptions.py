"""Errors of HTTP transfers; callers convert them to their own errors."""

from __future__ import annotations

from thornspool import exceptions


class TransportError(exceptions.ThornspoolError):
    """Base class for errors of HTTP transfers."""


class NotSent(TransportError):
    """No byte of the request was written, and none will be."""


class ConnectionRefused(NotSent):
    """No process listens at the address."""


class ResponseLost(TransportError):
    """The request may have been sent; no complete response arrived."""


class ConnectionBroken(ResponseLost):
    """The connection closed during the request; it did not time out."""


class MalformedHead(TransportError):
    """The head of a response does not conform to HTTP."""
