"""Errors of the use case of generating text."""

from __future__ import annotations

from thornspool.application import exceptions


class EngineRefused(exceptions.TargetError):
    """The first engine answered that it does not take the work.

    Nothing of it ran there or behind it.
    """


class StreamMalformed(exceptions.TargetError):
    """The engine's stream holds bytes that are no frame."""
