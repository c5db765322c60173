"""Errors raised for stored configuration that is invalid."""

from __future__ import annotations

from thornspool import exceptions


class ConfigurationError(exceptions.ThornspoolError):
    """Base class of errors in stored configuration."""


class DigestMismatch(ConfigurationError):
    """The bytes of a bucket do not match its digest."""


class MalformedValue(ConfigurationError):
    """Stored bytes cannot be decoded as a head or bucket."""
