"""Errors of the rules about non-idempotent actions."""

from __future__ import annotations

from thornspool import exceptions


class ActionsError(exceptions.ThornspoolError):
    """Base of the errors of this package."""


class KeyRefused(ActionsError):
    """An idempotency key that can't be used; nothing was run with it."""


class PageMalformed(ActionsError):
    """A ledger page in the platform that can't be decoded."""
