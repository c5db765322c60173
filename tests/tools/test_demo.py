"""The demo, whole, as a newcomer runs it."""

from __future__ import annotations

import contextlib
import io
import unittest

from tools import demo


class DemoTest(unittest.TestCase):
    def test_the_demo_keeps_what_it_promises(self) -> None:
        """An engine is killed while it runs a stage of an answer.

        The caller must get every token once and in order all the same, and
        each action has to run once through three entries.
        """
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = demo.main()
        self.assertEqual(0, code, out.getvalue())
        self.assertIn('5 of 5 as promised', out.getvalue())
        self.assertIn('attempt 1 ran on', out.getvalue())
