"""The command that shows how fast error budgets are used up."""

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

_ORDER = (burn.Severity.PAGE, burn.Severity.TICKET, burn.Severity.NONE)


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'subject',
        choices=('burn',),
        help='burn: error budgets of all services and models',
    )
    parser.add_argument(
        '--html',
        type=pathlib.Path,
        metavar='FILE',
        help='also write the report as one HTML page',
    )
    client.add_options(parser)


def _run(
    options: argparse.Namespace, console: base.Console
) -> exceptions.ExitCode:
    value = client.expect_ok(client.send(options, 'GET', '/v1/report'))
    report = _read_report(value)
    if options.html is not None:
        _write_page(options.html, pages.render_burn_page(report))
    console.write_result(msgspec.to_builtins(report), _format(report))
    if report.entries_answered < report.entries_asked:
        console.write_error(
            f'only {report.entries_answered} of {report.entries_asked} '
            'entries answered; counts of the others are missing.'
        )
    if any(one.severity is burn.Severity.PAGE for one in report.burns):
        return exceptions.ExitCode.PROBLEM
    return exceptions.ExitCode.OK


def _read_report(value: typing.Any) -> objectives.BurnReport:
    """Return the report of an answer, the worst first.

    A burst of a few minutes can have the highest rate and still matter to
    nobody, so the severity goes before the rate.
    """
    try:
        report = msgspec.convert(value, objectives.BurnReport)
    except msgspec.ValidationError as error:
        raise exceptions.Unreachable(
            f'The answer is no report on burn: {error}.',
            'Use the tool of the same version as the entry.',
        ) from error
    burns = sorted(
        report.burns,
        key=lambda one: (_ORDER.index(one.severity), -max(one.rates)),
    )
    return attrs.evolve(report, burns=tuple(burns))


def _format(report: objectives.BurnReport) -> list[str]:
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
            one.severity.value,
            one.subject.workspace,
            one.subject.name,
            pages.format_objective(one),
            *(f'{rate:.1f}' for rate in one.rates),
            one.events[-1],
        )
        for one in report.burns
    ]
    lines = [
        f'Burn rates, from {report.entries_answered} of '
        f'{report.entries_asked} entries; events of {windows[-1]}.'
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
            'Name a file that may be written with --html.',
        ) from error


COMMAND = base.Command(
    'report',
    'Show how fast error budgets are used up, the worst first; exit code 1 '
    'when one is burnt so fast that somebody must act now.',
    'thornspool report burn --html burn.html',
    _add_options,
    _run,
)
