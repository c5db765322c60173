"""Errors of the use cases on the platform."""

from __future__ import annotations

from thornspool import exceptions


class RoutingError(exceptions.ThornspoolError):
    """Base of the errors of these use cases."""


class RegistryUnavailable(RoutingError):
    """The registry did nothing, or nobody knows what it did."""


class RegistryConflict(RoutingError):
    """Another entry was first; nothing was written."""


class LeaseLost(RoutingError):
    """The lease of this entry has ended."""
