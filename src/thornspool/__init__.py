"""A router for model pipelines and non-idempotent actions."""

__version__ = '0.1.0'
