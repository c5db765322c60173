"""Tests of the detection of terminated processes by refused connections."""

from __future__ import annotations

import contextlib
import typing
import unittest

from tests.adapters import broken
from thornspool.adapters.targets import probes


class ProbesTest(unittest.IsolatedAsyncioTestCase):
    async def test_only_a_refused_connection_is_detected(self) -> None:
        """Guards against a busy target that is classified as crashed.

        A target may be unresponsive for several reasons. The calls of a
        target classified as crashed become suspects, and a suspected payout
        would be quarantined after two busy targets.
        """
        cases: dict[str, tuple[typing.Any, bool]] = {
            'no listener': (lambda: broken.open_port(None), True),
            'suspended': (lambda: broken.open_port(8), False),
            'backlog full': (broken.open_full_port, False),
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
