"""Tests of the tool that runs simulated days without a mechanism."""

from __future__ import annotations

import pathlib
import shutil
import tempfile
import unittest

from tools import ablation
from tools import mechanisms

ROOT = pathlib.Path(__file__).parents[2]


def build_result(variant, seed, worth, **changes):
    """Build the result of one day."""
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
    return ablation.DayResult(**values)


class MechanismsTest(unittest.TestCase):
    def test_every_mechanism_can_be_disabled(self):
        """Guards against edits that no longer match the source lines."""
        for name, edits in mechanisms.MECHANISMS.items():
            with self.subTest(name), tempfile.TemporaryDirectory() as folder:
                copy = pathlib.Path(folder)
                for edit in edits:
                    path = copy / edit.path
                    path.parent.mkdir(parents=True, exist_ok=True)
                    shutil.copy2(ROOT / edit.path, path)
                ablation.apply_edits(copy, edits)
                for edit in edits:
                    text = (copy / edit.path).read_text()
                    compile(text, edit.path, 'exec')

    def test_edit_without_a_match_raises_an_error(self):
        edit = mechanisms.Edit('one.py', 'gone', '')
        with tempfile.TemporaryDirectory() as folder:
            copy = pathlib.Path(folder)
            (copy / 'one.py').write_text('other\n')
            with self.assertRaises(ablation.AblationError):
                ablation.apply_edits(copy, (edit,))


class TableTest(unittest.TestCase):
    def test_differences_are_paired_by_day_and_seed(self):
        table = ablation.render_table(
            [
                build_result(ablation.UNCHANGED, 1, 0.7),
                build_result(ablation.UNCHANGED, 2, 0.5),
                build_result('without x', 1, 0.6),
                build_result('without x', 2, 0.5, broken=('LOST',)),
            ]
        )
        row = table.splitlines()[-1]
        self.assertIn('| without x | busy-1 | 0.550 | 0.500 to 0.600', row)
        self.assertIn('-0.050', row)
        self.assertIn('LOST', row)

    def test_report_is_parsed(self):
        result = ablation.parse_report(
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
        self.assertEqual((0.5, ('TWICE',)), (result.worth, result.broken))

    def test_unknown_mechanisms_are_a_usage_error(self):
        code = ablation.main(
            [
                *('--bench', 'x', '--site', 'y', '--days', 'z'),
                *('--without', 'no-such-one'),
            ]
        )
        self.assertEqual(ablation.EXIT_USAGE, code)
