"""Tests of the bodies of text generation requests."""

from __future__ import annotations

import base64
import json
import pathlib
import unittest

from thornspool.adapters.callers import generate_bodies

BY_REFERENCE = {
    'kind': 'photo',
    'media_type': 'image/jpeg',
    'reference': 'a.jpg',
}
INLINE = {'kind': 'photo', 'media_type': 'image/png', 'data': 'aGVsbG8='}
HALF_OF_LIMIT = base64.b64encode(
    bytes(generate_bodies.MAX_ATTACHMENT_BYTES // 2 + 3)
)
TOO_LONG = 'x' * (generate_bodies.MAX_TEXT_CHARACTERS + 1)
SAMPLES = pathlib.Path(__file__).parents[3] / 'examples'

# invalid attachment, expected part of the detail
INVALID_ATTACHMENTS = (
    ({**BY_REFERENCE, 'data': 'aGVsbG8='}, 'either'),
    ({**BY_REFERENCE, 'reference': ''}, 'either'),
    ({**BY_REFERENCE, 'media_type': 'jpeg'}, 'media_type'),
    ({**BY_REFERENCE, 'kind': ''}, 'kind'),
    ({**BY_REFERENCE, 'reference': TOO_LONG}, 'characters'),
    ({**BY_REFERENCE, 'referense': 'b'}, 'attachments[1].referense'),
    ({**INLINE, 'data': 'no base64!'}, 'base64'),
    ({**INLINE, 'data': 'aGVsbG8'}, 'base64'),
)


def find_problem(workspace='midbaer', model='offer-writer', **members):
    content = json.dumps({'prompt': 'Sum up.', **members}).encode()
    body = generate_bodies.decode_body(content)
    return generate_bodies.find_problem(content, body, workspace, model)


class FindProblemTest(unittest.TestCase):
    def test_samples_are_valid(self):
        for name in ('condition-summary', 'offer-text'):
            path = SAMPLES / 'spjaldamarkadur' / 'requests' / f'{name}.json'
            with self.subTest(name=name):
                self.assertEqual(
                    find_problem(**json.loads(path.read_text())), ''
                )

    def test_names_must_match_the_path(self):
        """Guards against a request that runs with the wrong limits or model.

        The body names a workspace or model that differs from the path, and
        one of them is used without an error.
        """
        for name in ('workspace', 'model'):
            with self.subTest(name=name):
                content = json.dumps({'prompt': 'a', name: 'other'}).encode()
                body = generate_bodies.decode_body(content)
                problem = generate_bodies.find_problem(content, body, 'w', 'm')
                self.assertIn(name, problem)

    def test_problem_names_the_invalid_attachment(self):
        """Guards against invalid files that are only rejected by engines.

        A caller sends a file that no engine can use. The problem has to name
        the file and the reason.
        """
        for invalid, part in INVALID_ATTACHMENTS:
            with self.subTest(part=part):
                problem = find_problem(attachments=[INLINE, invalid])
                self.assertIn(part, problem)
                self.assertIn('attachments[1]', problem)

    def test_attachments_are_limited(self):
        limit = generate_bodies.MAX_ATTACHMENTS
        self.assertEqual(find_problem(attachments=[BY_REFERENCE] * limit), '')
        problem = find_problem(attachments=[BY_REFERENCE] * (limit + 1))
        self.assertIn(str(limit), problem)
        large = {**INLINE, 'data': HALF_OF_LIMIT.decode()}
        self.assertEqual(find_problem(attachments=[large]), '')
        self.assertIn('exceeds', find_problem(attachments=[large] * 2))
