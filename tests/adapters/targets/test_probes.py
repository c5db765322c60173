"""Tests of telling a process that ended from other ways to be silent."""

from __future__ import annotations

import contextlib
import typing
import unittest

from tests.adapters import broken
from thornspool.adapters.targets import probes


class ProbesTest(unittest.IsolatedAsyncioTestCase):
    async def test_only_a_refusal_counts(self) -> None:
        """A target is silent for one of several reasons.

        Taken for dead, a busy one would make its calls suspects, and a
        suspect payout that meets two busy targets would be condemned.
        """
        cases: dict[str, tuple[typing.Any, bool]] = {
            'nobody listens': (lambda: broken.open_port(None), True),
            'frozen': (lambda: broken.open_port(8), False),
            'queue full': (broken.open_full_port, False),
            'unknown name': (
                lambda: contextlib.nullcontext('http://target.invalid:1'),
                False,
            ),
        }
        for name, (opener, refused) in cases.items():
            with self.subTest(name), opener() as url:
                self.assertEqual(refused, await probes.is_refusing(url))
        async with broken.open_broken([None, None]) as server:
            self.assertFalse(await probes.is_refusing(server.url))
