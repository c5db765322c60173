"""Tests of rendering the burn rate report as an HTML page."""

from __future__ import annotations

import unittest

from thornspool.application import objectives
from thornspool.console import pages
from thornspool.domain.objectives import burn


class PagesTest(unittest.TestCase):
    def test_page_shows_every_subject_and_escapes_names(self) -> None:
        subject_burn = burn.Burn(
            burn.Subject('swan-coast', '<slots>', burn.Indicator.LATENCY),
            0.95,
            (20.0, 16.0, 15.0, 0.5, 0.0),
            (10, 20, 30, 40, 50),
            burn.Severity.PAGE,
        )
        report = objectives.BurnReport(
            1_790_000_000_000, burn.WINDOWS_MS, 3, 2, (subject_burn,)
        )
        page = pages.render_burn_page(report)
        self.assertIn('&lt;slots&gt;', page)
        self.assertIn('gathered from 2 of 3 entries', page)
        self.assertIn('latency 95.00%', page)
        self.assertIn('>20.0</text>', page)
        self.assertIn('>page</span>', page)
        self.assertNotIn('http', page.replace('http-equiv', ''))

    def test_page_without_events_states_this(self) -> None:
        report = objectives.BurnReport(0, burn.WINDOWS_MS, 1, 1, ())
        self.assertIn('No requests', pages.render_burn_page(report))

    def test_formats_windows_in_minutes_or_hours(self) -> None:
        texts = [pages.format_window(ms) for ms in burn.WINDOWS_MS]
        self.assertEqual(['5 min', '30 min', '1 h', '6 h', '72 h'], texts)
