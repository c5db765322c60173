"""Errors of stored configuration that cannot be used."""

from __future__ import annotations

from thornspool import exceptions


class ConfigurationError(exceptions.ThornspoolError):
    """Base of the errors of the configuration's rules."""


class DigestMismatch(ConfigurationError):
    """A bucket's bytes are not those that its digest names."""


class MalformedValue(ConfigurationError):
    """Stored bytes cannot be decoded as a head or a bucket."""
