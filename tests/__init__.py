"""Tests; hypothesis runs derandomized, so that results are reproducible."""

from __future__ import annotations

import os

import hypothesis
import structlog

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, database=None, print_blob=True
)
hypothesis.settings.register_profile('explore', deadline=None)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))

# Tests cause failures deliberately; their log lines would obscure the results.
structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
