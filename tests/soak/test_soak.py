"""A short seeded run of the soak, and its checks against broken histories."""

from __future__ import annotations

import asyncio
import unittest

import attrs

from tests.soak import __main__ as soak
from tests.soak import callers
from tests.soak import checks

SEEDS = (1,)
SECONDS = 6.0


class SoakTest(unittest.TestCase):
    def test_promises_hold_while_real_processes_fail(self):
        """Entries are killed, paused and stopped.

        Links go silent, the store is away, engines vanish. Callers would
        see doubled holds, torn drafts, or refusals for what has run.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                report = asyncio.run(soak.run_seed(seed, SECONDS))
                self.assertEqual([], report.problems)
                self.assertGreater(report.served, 0)


class CheckTest(unittest.TestCase):
    """Each check finds the history that it is there for."""

    def build(self, kind='hold', **changes):
        values = {
            'id': 'one',
            'kind': kind,
            'key': 'key-north',
            'entry': 'entry-0',
            'sent_at': 100.0,
            'status': 200,
            'body': checks.DRAFT if kind == 'brief' else b'a-9 for north',
            'whole': True,
            'signed': True,
        }
        values.update(changes)
        return callers.Sending(**values)

    def check(self, sending, ran=1, revoked_at=None):
        return checks.check_sendings([sending], {'one': ran}, revoked_at)

    def test_sound_histories_pass(self):
        for kind in ('hold', 'read', 'brief'):
            self.assertEqual([], self.check(self.build(kind)))
        self.assertEqual([], self.check(self.build(status=503), 0))
        cut = self.build('brief', body=checks.DRAFT[:100], whole=False)
        self.assertEqual([], self.check(cut, 2))

    def test_broken_histories_are_found(self):
        words = checks.WORDS
        gap = words[0] + words[2]
        twice = words[0] + words[0]
        table = (
            ('doubled hold', self.build(), 2),
            ('refused and run', self.build(status=503), 1),
            ('no signature', self.build(signed=False), 1),
            ('answer of nobody', self.build(body=b'x for north'), 0),
            ('short draft', self.build('brief', body=words[0]), 1),
            ('gap', self.build('brief', body=gap, whole=False), 1),
            ('twice', self.build('brief', body=twice, whole=False), 1),
        )
        for name, sending, ran in table:
            with self.subTest(name):
                self.assertEqual(1, len(self.check(sending, ran)))

    def test_a_withdrawn_key_that_still_works_is_found(self):
        sending = self.build(
            key=callers.SOUTH_KEY, body=b'a-9 for south', sent_at=100.0
        )
        self.assertEqual([], self.check(sending, 1, revoked_at=96.0))
        self.assertEqual(1, len(self.check(sending, 1, revoked_at=94.0)))
        denied = attrs.evolve(sending, status=401)
        self.assertEqual([], self.check(denied, 0, revoked_at=94.0))
