"""Tests of the bodies of requests for generated text."""

from __future__ import annotations

import base64
import json
import pathlib
import unittest

from thornspool.adapters.callers import generate_bodies

REFERRED = {'kind': 'photo', 'media_type': 'image/jpeg', 'reference': 'a.jpg'}
INLINE = {'kind': 'photo', 'media_type': 'image/png', 'data': 'aGVsbG8='}
HALF = base64.b64encode(bytes(generate_bodies.MAX_ATTACHMENT_BYTES // 2 + 3))
TOO_LONG = 'x' * (generate_bodies.MAX_TEXT_CHARACTERS + 1)
SAMPLES = pathlib.Path(__file__).parents[3] / 'examples'

# changes of a good attachment, part of the detail
BAD_ATTACHMENTS = (
    ({**REFERRED, 'data': 'aGVsbG8='}, 'either'),
    ({**REFERRED, 'reference': ''}, 'either'),
    ({**REFERRED, 'media_type': 'jpeg'}, 'media_type'),
    ({**REFERRED, 'kind': ''}, 'kind'),
    ({**REFERRED, 'reference': TOO_LONG}, 'characters'),
    ({**REFERRED, 'referense': 'b'}, 'attachments[1].referense'),
    ({**INLINE, 'data': 'no base64!'}, 'base64'),
    ({**INLINE, 'data': 'aGVsbG8'}, 'base64'),
)


def find_problem(workspace='midbaer', model='offer-writer', **members):
    content = json.dumps({'prompt': 'Sum up.', **members}).encode()
    body = generate_bodies.decode_body(content)
    return generate_bodies.find_problem(content, body, workspace, model)


class FindProblemTest(unittest.TestCase):
    def test_samples_are_good(self):
        for name in ('condition-summary', 'offer-text'):
            path = SAMPLES / 'spjaldamarkadur' / 'requests' / f'{name}.json'
            with self.subTest(name=name):
                self.assertEqual(
                    find_problem(**json.loads(path.read_text())), ''
                )

    def test_names_must_match_the_path(self):
        """A body names another workspace than its path.

        Were one of them taken silently, the request would run under the
        limits, or on the model, of somebody else.
        """
        for name in ('workspace', 'model'):
            with self.subTest(name=name):
                content = json.dumps({'prompt': 'a', name: 'other'}).encode()
                body = generate_bodies.decode_body(content)
                problem = generate_bodies.find_problem(content, body, 'w', 'm')
                self.assertIn(name, problem)

    def test_bad_attachment_is_named(self):
        """A caller sends a file that no engine can use.

        It must learn which and why at once, not from an engine's failure.
        """
        for bad, part in BAD_ATTACHMENTS:
            with self.subTest(part=part):
                problem = find_problem(attachments=[INLINE, bad])
                self.assertIn(part, problem)
                self.assertIn('attachments[1]', problem)

    def test_attachments_are_bounded(self):
        most = generate_bodies.MAX_ATTACHMENTS
        self.assertEqual(find_problem(attachments=[REFERRED] * most), '')
        problem = find_problem(attachments=[REFERRED] * (most + 1))
        self.assertIn(str(most), problem)
        large = {**INLINE, 'data': HALF.decode()}
        self.assertEqual(find_problem(attachments=[large]), '')
        self.assertIn('exceeds', find_problem(attachments=[large] * 2))
