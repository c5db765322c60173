"""Tests of the story of a request from log lines."""

from __future__ import annotations

import io
import itertools
import pathlib
import tempfile
import unittest

from thornspool.console import application
from thornspool.console import base
from thornspool.console import logs
from thornspool.console.commands import explain

REQUEST = 'b7e1d786827065e8'
PATH = 'b:i-1=0-5,i-2=5-10'
LINES = (
    (
        'one',
        '16.200000',
        f'event=request_ended id={REQUEST} outcome=cut '
        f'reason=broken sends=2 runs=2 path="{PATH}" took_ms=1320',
    ),
    (
        'two',
        '15.800000',
        'event=server_suspected server=i-2 reason=stalls_others',
    ),
    ('two', '15.850000', 'event=server_suspected server=i-9 reason=x'),
    (
        'one',
        '15.900000',
        f'event=run_repeated id={REQUEST} reason=broken sends=1 after=19',
    ),
    ('one', '02.000000', 'event=server_suspected server=i-1 reason=old'),
    ('one', '16.000000', 'event=request_ended id=another outcome=served'),
)


def build_lines():
    return [
        f'timestamp=2026-07-30T19:54:{time}Z level=info {rest} host={host}\n'
        for host, time, rest in LINES
    ]


def run(*arguments):
    out, err = io.StringIO(), io.StringIO()
    code = application.main(
        ['explain', *map(str, arguments)], base.Console(out, err)
    )
    return code, out.getvalue(), err.getvalue()


class ExplainTest(unittest.TestCase):
    """A caller complains, and the engineer on call has only logs."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log = pathlib.Path(folder.name) / 'all.log'
        self.log.write_text('not a log line\n' + ''.join(build_lines()))

    def test_tells_the_story_in_order_with_its_first_cause(self):
        code, out, _ = run(REQUEST, self.log)
        self.assertEqual(0, code)
        self.assertLess(out.index('run_repeated'), out.index('outcome=cut'))
        self.assertIn('server=i-2', out)
        self.assertNotIn('i-9', out)
        self.assertNotIn('reason=old', out)
        self.assertNotIn('another', out)

    def test_an_unknown_request_is_a_problem(self):
        code, _, err = run('0000', self.log)
        self.assertEqual(1, code)
        self.assertIn('0000', err)

    def test_a_missing_file_is_named(self):
        code, _, err = run(REQUEST, self.log.with_name('none.log'))
        self.assertEqual(2, code)
        self.assertIn('none.log', err)

    def test_a_story_without_its_end_says_so(self):
        """The host was killed before it wrote the last line."""
        lines = [one for one in build_lines() if 'outcome=cut' not in one]
        self.log.write_text(''.join(lines))
        _, out, _ = run(REQUEST, self.log)
        self.assertIn('Its end is missing', out)

    def test_memory_is_bounded(self):
        """The logs of a day have millions of lines."""
        lines = itertools.chain(
            build_lines() * 500,
            (
                f'timestamp=2026-07-30T19:54:17.{number:06}Z event=store_lost '
                'host=one'
                for number in range(10_000)
            ),
        )
        story = explain.tell(lines, REQUEST)
        self.assertEqual(explain.MAX_LINES, len(story.lines))
        self.assertEqual(1_000 - explain.MAX_LINES, story.left_out)
        self.assertEqual(explain.MAX_CHANGES, len(story.changes))

    def test_quoted_values_are_read(self):
        line = logs.parse_line(
            'x timestamp=1 event=a reason="say \\"no\\" = b" host=h'
        )
        self.assertEqual('say "no" = b', line.fields['reason'])
        self.assertEqual('h', line.fields['host'])
