"""Exceptions of the platform adapter."""

from __future__ import annotations

from thornspool import exceptions


class PlatformError(exceptions.ThornspoolError):
    """Base class of the platform exceptions."""


class SettingsFileError(PlatformError):
    """The settings file of this process is missing or malformed."""


class DecodeError(PlatformError):
    """A document of the platform does not match its published schema."""


class StoreError(PlatformError):
    """Base class of the failures of a store call."""


class StoreRefused(StoreError):
    """The call was not sent, or the store rejected it without effect."""


class StoreOutcomeUnknown(StoreError):
    """No complete response arrived; a write may take effect now or later."""


class KeyNotFound(StoreError):
    """The key does not exist."""


class HistoryCompacted(StoreError):
    """The store no longer keeps the changes after a revision."""


class ConditionFailed(StoreError):
    """A precondition of a write failed; nothing was written."""


class LeaseExpired(StoreError):
    """The lease has expired or does not exist."""
