"""Tests that the page for operators matches log events and metrics."""

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
    """Return the event that a call logs; ``_guard`` logs its second argument.

    The list is empty if the call logs no event or receives it as a variable.
    """
    if isinstance(node.func, ast.Name) and node.func.id == '_guard':
        return [ast.literal_eval(node.args[1])]
    if _is_log_call(node) and isinstance(node.args[0], ast.Constant):
        return [node.args[0].value]
    return []


class OperationsPageTest(unittest.TestCase):
    def test_page_explains_every_log_event(self) -> None:
        """Guards against log events that operators can't look up."""
        calls = list(_list_calls())
        events = {event for node in calls for event in _read_events(node)}
        variable_events = [
            node
            for node in calls
            if _is_log_call(node) and not _read_events(node)
        ]
        self.assertEqual(1, len(variable_events))
        missing = [
            event for event in sorted(events) if f'`{event}`' not in PAGE
        ]
        self.assertEqual([], missing)

    def test_every_metric_on_the_page_exists(self) -> None:
        """Guards against alerts on missing metrics, which never fire."""
        defined = {
            argument.value
            for node in _list_calls()
            for argument in node.args
            if isinstance(argument, ast.Constant)
            and str(argument.value).startswith('thornspool_')
        }
        mentioned = set(re.findall(r'thornspool_[a-z_]+[a-z]', PAGE))
        self.assertGreater(len(mentioned), 10)
        self.assertEqual(set(), mentioned - defined)

    def test_links_within_the_page_have_a_heading(self) -> None:
        headings = re.findall(r'^#+ (.+)$', PAGE, re.M)
        anchors = {heading.lower().replace(' ', '-') for heading in headings}
        self.assertEqual(set(), set(re.findall(r'\(#(.+?)\)', PAGE)) - anchors)
