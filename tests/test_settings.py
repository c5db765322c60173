"""Tests of the settings of one entry."""

from __future__ import annotations

import copy
import json
import pathlib
import tempfile
import typing
import unittest

from tests import builders
from thornspool import settings


def _change(path: str, value: typing.Any) -> dict[str, typing.Any]:
    """Build good settings but for one value; None removes it."""
    changed = copy.deepcopy(builders.build_settings())
    *parents, last = path.split('.')
    place = changed
    for name in parents:
        place = place[name]
    if value is None:
        del place[last]
    else:
        place[last] = value
    return changed


BAD_VALUES = (
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

    def test_good_settings_are_read(self) -> None:
        self.path.write_text(json.dumps(builders.build_settings()))
        read = settings.read_settings(self.path)
        self.assertEqual('perth-1', read.host)
        self.assertEqual('perth-a', read.region)
        self.assertNotIn(read.operators.tokens[0].token, repr(read))

    def test_a_bad_value_is_named_with_file_place_and_rule(self) -> None:
        for path, value, place, rule in BAD_VALUES:
            with self.subTest(path=path, value=value):
                self.path.write_text(json.dumps(_change(path, value)))
                with self.assertRaises(settings.SettingsError) as caught:
                    settings.read_settings(self.path)
                message = str(caught.exception)
                self.assertIn(f'{self.path}: {place}: ', message)
                self.assertIn(rule, message)

    def test_all_problems_are_named_at_once(self) -> None:
        changed = _change('host', 'Perth 1')
        changed['log_level'] = 'loud'
        self.path.write_text(json.dumps(changed))
        with self.assertRaises(settings.SettingsError) as caught:
            settings.read_settings(self.path)
        self.assertEqual(2, len(caught.exception.problems))

    def test_files_that_are_not_json_are_named(self) -> None:
        self.path.write_text('{"host": ')
        with self.assertRaisesRegex(settings.SettingsError, 'not JSON'):
            settings.read_settings(self.path)
        with self.assertRaisesRegex(settings.SettingsError, 'No such file'):
            settings.read_settings(self.path.with_name('none.json'))
