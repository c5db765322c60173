"""Errors of the tool, each with the exit code that it causes."""

from __future__ import annotations

import enum

from thornspool import exceptions


class ExitCode(enum.IntEnum):
    """Exit codes of the tool."""

    OK = 0
    PROBLEM = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4


class ConsoleError(exceptions.ThornspoolError):
    """Base class of the errors that end a command."""

    exit_code = ExitCode.PROBLEM


class BadUsage(ConsoleError):
    """Options, files or environment variables are invalid."""

    exit_code = ExitCode.USAGE


class Unreachable(ConsoleError):
    """The entry did not respond, or the outcome is unknown."""

    exit_code = ExitCode.UNREACHABLE
