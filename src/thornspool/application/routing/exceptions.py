"""Exceptions of the services of an entry on the platform."""

from __future__ import annotations

from thornspool import exceptions


class RoutingError(exceptions.ThornspoolError):
    """Base class of the exceptions of this package."""


class RegistryUnavailable(RoutingError):
    """The registry wrote nothing, or the outcome of the call is unknown."""


class RegistryConflict(RoutingError):
    """Another entry wrote the key first; nothing was written."""


class LeaseLost(RoutingError):
    """The lease of this entry has expired."""
