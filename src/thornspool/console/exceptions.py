"""Errors of the tool, each with the exit code that it ends with."""

from __future__ import annotations

import enum

from thornspool import exceptions


class ExitCode(enum.IntEnum):
    """What the tool's exit code tells."""

    OK = 0
    PROBLEM = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4


class ConsoleError(exceptions.ThornspoolError):
    """Base of the errors that end a command."""

    exit_code = ExitCode.PROBLEM


class BadUsage(ConsoleError):
    """Options, files or environment cannot be used."""

    exit_code = ExitCode.USAGE


class Unreachable(ConsoleError):
    """The entry did not answer, or could not tell."""

    exit_code = ExitCode.UNREACHABLE
