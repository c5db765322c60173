"""Errors of the pipelines aggregate."""

from __future__ import annotations

from thornspool import exceptions


class PipelineError(exceptions.ThornspoolError):
    """Base of the errors about pipelines."""


class NoPipeline(PipelineError):
    """The stages that may be used do not cover the model's layers."""


class MalformedFrame(PipelineError):
    """Bytes of a token stream that are no frame."""
