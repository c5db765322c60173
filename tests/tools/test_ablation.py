"""Tests of the tool that plays days without a mechanism."""

from __future__ import annotations

import pathlib
import shutil
import tempfile
import unittest

from tools import ablation
from tools import mechanisms

ROOT = pathlib.Path(__file__).parents[2]


def build_play(variant, seed, worth, **changes):
    """Build one play of a day."""
    values = {
        'variant': variant,
        'day': 'busy-1',
        'seed': seed,
        'worth': worth,
        'served': 0.9,
        'refused': 0.01,
        'failed': 0.02,
        'broken': (),
    }
    values.update(changes)
    return ablation.Play(**values)


class MechanismsTest(unittest.TestCase):
    def test_every_mechanism_can_be_switched_off(self):
        """Guards against edits that no longer fit the sources."""
        for name, edits in mechanisms.MECHANISMS.items():
            with self.subTest(name), tempfile.TemporaryDirectory() as folder:
                copy = pathlib.Path(folder)
                for edit in edits:
                    path = copy / edit.path
                    path.parent.mkdir(parents=True, exist_ok=True)
                    shutil.copy2(ROOT / edit.path, path)
                ablation.switch_off(copy, edits)
                for edit in edits:
                    text = (copy / edit.path).read_text()
                    compile(text, edit.path, 'exec')

    def test_an_edit_that_does_not_fit_is_refused(self):
        edit = mechanisms.Edit('one.py', 'gone', '')
        with tempfile.TemporaryDirectory() as folder:
            copy = pathlib.Path(folder)
            (copy / 'one.py').write_text('other\n')
            with self.assertRaises(ablation.AblationError):
                ablation.switch_off(copy, (edit,))


class TableTest(unittest.TestCase):
    def test_differences_are_paired_by_day_and_seed(self):
        table = ablation.render_table(
            [
                build_play(ablation.UNCHANGED, 1, 0.7),
                build_play(ablation.UNCHANGED, 2, 0.5),
                build_play('without x', 1, 0.6),
                build_play('without x', 2, 0.5, broken=('LOST',)),
            ]
        )
        row = table.splitlines()[-1]
        self.assertIn('| without x | busy-1 | 0.550 | 0.500 to 0.600', row)
        self.assertIn('-0.050', row)
        self.assertIn('LOST', row)

    def test_a_report_is_read(self):
        play = ablation.read_play(
            'x',
            'busy-1',
            3,
            {
                'G': 0.5,
                'served': 0.9,
                'refused': 0.0,
                'failed': 0.1,
                'breaks': {'TWICE': 1},
            },
        )
        self.assertEqual((0.5, ('TWICE',)), (play.worth, play.broken))

    def test_unknown_mechanisms_are_refused(self):
        code = ablation.main(
            [
                *('--bench', 'x', '--site', 'y', '--days', 'z'),
                *('--without', 'no-such-one'),
            ]
        )
        self.assertEqual(ablation.EXIT_USAGE, code)
