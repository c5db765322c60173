"""Tests of the settings of the memory allocator."""

from __future__ import annotations

import unittest
from unittest import mock

from thornspool import allocation


class AllocationTest(unittest.TestCase):
    def test_c_library_without_the_settings_is_left_alone(self):
        """Guards against an entry that does not start on another system."""
        for error in (AttributeError, OSError):
            with mock.patch('ctypes.CDLL', side_effect=error):
                self.assertFalse(allocation.map_large_blocks())
                allocation.release_free_pages()

    def test_resident_memory_is_unknown_on_another_system(self):
        self.assertGreater(allocation.read_resident_bytes(), 1_000_000)
        with mock.patch.object(allocation, 'STATISTICS_PATH') as path:
            for content in (b'', b'1 x 2'):
                path.read_bytes.return_value = content
                self.assertEqual(0, allocation.read_resident_bytes())
            path.read_bytes.side_effect = OSError
            self.assertEqual(0, allocation.read_resident_bytes())

    def test_settings_are_accepted_or_unknown(self):
        self.assertIn(allocation.map_large_blocks(), {True, False})
        allocation.release_free_pages()
