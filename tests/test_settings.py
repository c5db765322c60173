"""Tests of reading and validating the settings of an entry."""

from __future__ import annotations

import copy
import json
import pathlib
import tempfile
import typing
import unittest

from tests import builders
from thornspool import settings


def _build_changed(path: str, value: typing.Any) -> dict[str, typing.Any]:
    """Build valid settings with one member changed, or removed if None."""
    changed = copy.deepcopy(builders.build_settings())
    *parents, last = path.split('.')
    parent = changed
    for name in parents:
        parent = parent[name]
    if value is None:
        del parent[last]
    else:
        parent[last] = value
    return changed


INVALID_VALUES = (
    ('host', None, '$', "'host' is a required property"),
    ('host', 'Perth 1', '$.host', 'does not match'),
    ('callers.listen', 8000, '$.callers.listen', "not of type 'string'"),
    ('callers.lisen', ':1', '$.callers', "'lisen' was unexpected"),
    ('operators.tokens', [], '$.operators.tokens', 'non-empty'),
    ('platform.kind', 'etcd', '$.platform.kind', 'is not one of'),
    ('platform', {'kind': 'http'}, '$.platform', "'url' is a required"),
    ('peers.seeds', ['10.0.0.1'], '$.peers.seeds[0]', 'does not match'),
    ('peers.advertise', '10.0.0.1:0', '$.peers.advertise', 'does not match'),
    ('log_level', 'loud', '$.log_level', 'is not one of'),
)


class SettingsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'entry.json'

    def test_reads_valid_settings(self) -> None:
        self.path.write_text(json.dumps(builders.build_settings()))
        read = settings.read_settings(self.path)
        self.assertEqual('perth-1', read.host)
        self.assertEqual('perth-a', read.region)
        self.assertNotIn(read.operators.tokens[0].token, repr(read))

    def test_reports_file_path_and_rule_of_an_invalid_value(self) -> None:
        for path, value, json_path, rule in INVALID_VALUES:
            with self.subTest(path=path, value=value):
                self.path.write_text(json.dumps(_build_changed(path, value)))
                with self.assertRaises(settings.SettingsError) as caught:
                    settings.read_settings(self.path)
                message = str(caught.exception)
                self.assertIn(f'{self.path}: {json_path}: ', message)
                self.assertIn(rule, message)

    def test_reports_all_problems_together(self) -> None:
        changed = _build_changed('host', 'Perth 1')
        changed['log_level'] = 'loud'
        self.path.write_text(json.dumps(changed))
        with self.assertRaises(settings.SettingsError) as caught:
            settings.read_settings(self.path)
        self.assertEqual(2, len(caught.exception.problems))

    def test_reports_files_that_are_not_json_or_missing(self) -> None:
        self.path.write_text('{"host": ')
        with self.assertRaisesRegex(settings.SettingsError, 'not JSON'):
            settings.read_settings(self.path)
        with self.assertRaisesRegex(settings.SettingsError, 'No such file'):
            settings.read_settings(self.path.with_name('none.json'))
