"""Command line of the daemon, which runs one entry until it is drained."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import random
import signal
import sys
import typing

import msgspec
import structlog

import thornspool
from thornspool import allocation
from thornspool import clock
from thornspool import entry
from thornspool import exceptions
from thornspool import logs
from thornspool import settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID_SETTINGS = 2

logger = structlog.get_logger(__name__)


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='thornspoold',
        description='Run one entry of the router until it is drained.',
        epilog='SIGTERM and SIGINT drain the entry: it accepts no new '
        'requests, completes those in flight and exits. Example: thornspoold '
        '--settings entry.json',
    )
    parser.add_argument(
        '--settings',
        required=True,
        type=pathlib.Path,
        metavar='FILE.json',
        help='settings of this entry; see docs/settings.md',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings and exit',
    )
    parser.add_argument(
        '--version', action='version', version=thornspool.__version__
    )
    return parser


def main(arguments: typing.Sequence[str] | None = None) -> int:
    """Run the daemon.

    Parameters
    ----------
    arguments : sequence of str, optional
        Arguments without the program name; those of the process by default.

    Returns
    -------
    int
        Exit code: 0 after a drain, 1 if the entry failed, 2 if the settings
        are invalid.
    """
    options = build_parser().parse_args(arguments)
    try:
        entry_settings = settings.read_settings(options.settings)
    except settings.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if options.check:
        return EXIT_OK
    logs.configure_logs(entry_settings.log_level, entry_settings.host)
    allocation.map_large_blocks()
    try:
        asyncio.run(run_entry(entry_settings))
    except exceptions.ThornspoolError as error:
        logger.error('entry_failed', reason=str(error))
        print(error, file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


async def run_entry(entry_settings: settings.Settings) -> None:
    """Run an entry until a signal or an operator stops it, then drain it.

    Parameters
    ----------
    entry_settings : settings.Settings
        Validated settings.
    """
    seed = entry_settings.seed
    if seed is None:
        seed = random.SystemRandom().getrandbits(64)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    local_entry = entry.Entry(
        entry_settings, clock.Clock(), random.Random(seed), stop_requested.set
    )
    addresses = await local_entry.start()
    allocation.exempt_start_objects()
    print(msgspec.json.encode(addresses).decode(), flush=True)
    logger.info('entry_started', seed=seed, callers=addresses.callers)
    await stop_requested.wait()
    await local_entry.stop()
    logger.info('entry_stopped')


if __name__ == '__main__':
    sys.exit(main())
