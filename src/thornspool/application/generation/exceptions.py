"""Errors of text generation."""

from __future__ import annotations

from thornspool.application import exceptions


class EngineRefused(exceptions.TargetError):
    """The first engine refused the request.

    Nothing ran on it or on later stages.
    """


class StreamMalformed(exceptions.TargetError):
    """The engine's stream contains bytes that are not a frame."""
