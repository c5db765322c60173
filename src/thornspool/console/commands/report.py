"""The command that shows the burn rates of error budgets."""

from __future__ import annotations

import pathlib
import typing

import attrs
import msgspec

from thornspool.application import objectives
from thornspool.console import base
from thornspool.console import client
from thornspool.console import exceptions
from thornspool.console import pages
from thornspool.domain.objectives import burn

if typing.TYPE_CHECKING:
    import argparse

_SEVERITY_ORDER = (
    burn.Severity.PAGE,
    burn.Severity.TICKET,
    burn.Severity.NONE,
)


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'subject',
        choices=('burn',),
        help='burn: burn rates of all services and models',
    )
    parser.add_argument(
        '--html',
        type=pathlib.Path,
        metavar='FILE',
        help='also write the report as an HTML page to this file',
    )
    client.add_options(parser)


def _run(
    options: argparse.Namespace, console: base.Console
) -> exceptions.ExitCode:
    value = client.expect_ok(client.send(options, 'GET', '/v1/report'))
    report = _read_report(value)
    if options.html is not None:
        _write_page(options.html, pages.render_burn_page(report))
    console.write_result(msgspec.to_builtins(report), _format_report(report))
    if report.entries_answered < report.entries_asked:
        console.write_error(
            f'only {report.entries_answered} of {report.entries_asked} '
            'entries responded; the counts of the others are missing.'
        )
    if any(
        subject_burn.severity is burn.Severity.PAGE
        for subject_burn in report.burns
    ):
        return exceptions.ExitCode.PROBLEM
    return exceptions.ExitCode.OK


def _read_report(value: typing.Any) -> objectives.BurnReport:
    """Decode a report and sort its subjects, the most severe first.

    Subjects are sorted by severity before burn rate, since a burst of a few
    minutes can have the highest rate without any need to act.
    """
    try:
        report = msgspec.convert(value, objectives.BurnReport)
    except msgspec.ValidationError as error:
        raise exceptions.Unreachable(
            f'The response is not a burn rate report: {error}.',
            'Use a tool of the same version as the entry.',
        ) from error
    burns = sorted(
        report.burns,
        key=lambda subject_burn: (
            _SEVERITY_ORDER.index(subject_burn.severity),
            -max(subject_burn.rates),
        ),
    )
    return attrs.evolve(report, burns=tuple(burns))


def _format_report(report: objectives.BurnReport) -> list[str]:
    windows = [pages.format_window(ms) for ms in report.windows_ms]
    heading = (
        'SEVERITY',
        'WORKSPACE',
        'NAME',
        'OBJECTIVE',
        *(window.upper() for window in windows),
        'EVENTS',
    )
    rows = [
        (
            subject_burn.severity.value,
            subject_burn.subject.workspace,
            subject_burn.subject.name,
            pages.format_objective(subject_burn),
            *(f'{rate:.1f}' for rate in subject_burn.rates),
            subject_burn.events[-1],
        )
        for subject_burn in report.burns
    ]
    lines = [
        f'Burn rates, from {report.entries_answered} of '
        f'{report.entries_asked} entries; events within {windows[-1]}.'
    ]
    if not rows:
        return [*lines, 'No requests were counted.']
    return [*lines, *base.format_table(heading, rows)]


def _write_page(path: pathlib.Path, page: str) -> None:
    try:
        path.write_text(page, 'utf-8')
    except OSError as error:
        raise exceptions.BadUsage(
            f'The page cannot be written: {error}.',
            'Specify a writable file with --html.',
        ) from error


COMMAND = base.Command(
    'report',
    'Show the burn rates of error budgets, the most severe first; exit code 1 '
    'if one requires immediate action.',
    'thornspool report burn --html burn.html',
    _add_options,
    _run,
)
