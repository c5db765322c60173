"""The page for operators names what the program shows them."""

from __future__ import annotations

import ast
import pathlib
import re
import typing
import unittest

ROOT = pathlib.Path(__file__).parents[1]
PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
LEVELS = ('debug', 'info', 'warning', 'error', 'exception')


def _list_calls() -> typing.Iterator[ast.Call]:
    for path in sorted((ROOT / 'src').rglob('*.py')):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call):
                yield node


def _is_log_call(node: ast.Call) -> bool:
    return (
        isinstance(node.func, ast.Attribute)
        and node.func.attr in LEVELS
        and ast.unparse(node.func.value) == 'logger'
    )


def _read_events(node: ast.Call) -> list[str]:
    """Return what a call logs; ``_guard`` passes its second argument on."""
    if isinstance(node.func, ast.Name) and node.func.id == '_guard':
        return [ast.literal_eval(node.args[1])]
    if _is_log_call(node) and isinstance(node.args[0], ast.Constant):
        return [node.args[0].value]
    return []


class OperationsPageTest(unittest.TestCase):
    def test_every_log_event_is_explained(self) -> None:
        """An operator looks a line of the log up and finds nothing."""
        calls = list(_list_calls())
        events = {event for node in calls for event in _read_events(node)}
        passed_on = [
            node
            for node in calls
            if _is_log_call(node) and not _read_events(node)
        ]
        self.assertEqual(1, len(passed_on))
        missing = [one for one in sorted(events) if f'`{one}`' not in PAGE]
        self.assertEqual([], missing)

    def test_every_metric_on_the_page_exists(self) -> None:
        """An alert on a name that is never shown never fires."""
        names = {
            argument.value
            for node in _list_calls()
            for argument in node.args
            if isinstance(argument, ast.Constant)
            and str(argument.value).startswith('thornspool_')
        }
        used = set(re.findall(r'thornspool_[a-z_]+[a-z]', PAGE))
        self.assertGreater(len(used), 10)
        self.assertEqual(set(), used - names)

    def test_links_within_the_page_lead_somewhere(self) -> None:
        headings = re.findall(r'^#+ (.+)$', PAGE, re.M)
        places = {one.lower().replace(' ', '-') for one in headings}
        self.assertEqual(set(), set(re.findall(r'\(#(.+?)\)', PAGE)) - places)
