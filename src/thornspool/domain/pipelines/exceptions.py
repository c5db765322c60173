"""Errors of pipelines."""

from __future__ import annotations

from thornspool import exceptions


class PipelineError(exceptions.ThornspoolError):
    """Base class of the errors of pipelines."""


class NoPipeline(PipelineError):
    """The usable stages do not cover the layers of the model."""


class MalformedFrame(PipelineError):
    """A token stream contains bytes that are not a frame."""
