"""Tests of the groups in which the tests run."""

from __future__ import annotations

import pathlib
import unittest

from tools import grouped_tests


class GroupTest(unittest.TestCase):
    def grouped_tests_contain_each_test_module_once(self):
        """Guards against modules that no group runs."""
        names = [
            name for group in grouped_tests.list_groups() for name in group
        ]
        self.assertEqual(len(names), len(set(names)))
        for path in pathlib.Path('tests').rglob('test_*.py'):
            module = '.'.join(path.with_suffix('').parts)
            covering = [
                name for name in names if f'{module}.'.startswith(f'{name}.')
            ]
            self.assertEqual(1, len(covering), module)

    def test_outcomes_are_added_up(self):
        outputs = ['OK\n3 passed, 0 failed', '1 passed, 2 failed, 4 skipped\n']
        self.assertEqual([4, 2, 4], grouped_tests.add_outcomes(outputs))
        self.assertIsNone(grouped_tests.add_outcomes([*outputs, 'crashed']))
