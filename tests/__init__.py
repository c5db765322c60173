"""Tests; hypothesis runs derandomized, so every run gives one verdict."""

from __future__ import annotations

import os

import hypothesis
import structlog

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, database=None, print_blob=True
)
hypothesis.settings.register_profile('explore', deadline=None)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))

# Failures are brought about on purpose; their log lines would hide the rest.
structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
