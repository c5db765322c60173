"""Errors about the platform."""

from __future__ import annotations

from thornspool import exceptions


class PlatformError(exceptions.ThornspoolError):
    """Base of the errors about the platform."""


class NodeFileError(PlatformError):
    """The settings file of this process can't be used."""


class DecodeError(PlatformError):
    """A document of the platform is not of its published form."""


class StoreError(PlatformError):
    """Base of the failures of a call to the store."""


class StoreRefused(StoreError):
    """The store answered that it did nothing."""


class StoreUnanswered(StoreError):
    """No whole answer came; a write may have been done or be done later."""


class KeyUnknown(StoreError):
    """The key does not exist."""


class HistoryLost(StoreError):
    """The changes after a revision are no longer to be had."""


class ConditionFailed(StoreError):
    """A condition of a write did not hold; nothing was written."""


class LeaseEnded(StoreError):
    """The lease is unknown to the store."""
