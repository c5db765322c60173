"""Test of the whole demo, run as from the command line."""

from __future__ import annotations

import contextlib
import io
import unittest

from tools import demo


class DemoTest(unittest.TestCase):
    def test_all_checks_of_the_demo_pass(self) -> None:
        """An engine is killed while it runs a stage of a stream.

        The caller must still receive every token once and in order, and an
        action sent through three entries must run once.
        """
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = demo.main()
        self.assertEqual(0, code, out.getvalue())
        self.assertIn('5 of 5 as promised', out.getvalue())
        self.assertIn('attempt 1 ran on', out.getvalue())
