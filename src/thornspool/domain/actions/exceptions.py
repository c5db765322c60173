"""Errors of the rules for non-idempotent actions."""

from __future__ import annotations

from thornspool import exceptions


class ActionsError(exceptions.ThornspoolError):
    """Base class of the errors of this package."""


class KeyRefused(ActionsError):
    """An idempotency key is not acceptable; nothing was run with it."""


class PageMalformed(ActionsError):
    """A ledger page read from the platform can not be decoded."""
