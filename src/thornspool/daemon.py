"""The daemon: one entry, from its settings to its last request."""

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
from thornspool import clock
from thornspool import entry
from thornspool import exceptions
from thornspool import logs
from thornspool import settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2

logger = structlog.get_logger(__name__)


def make_parser() -> argparse.ArgumentParser:
    """Make the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='thornspoold',
        description='Run one entry of the router until it is told to stop.',
        epilog='SIGTERM and SIGINT drain the entry: it takes no new work, '
        'finishes what is in flight, then exits. Example: thornspoold '
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
        Command line without the program's name.

    Returns
    -------
    int
        0 after a drain, 1 when the entry failed, 2 for wrong settings.
    """
    options = make_parser().parse_args(arguments)
    try:
        read = settings.read_settings(options.settings)
    except settings.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    if options.check:
        return EXIT_OK
    logs.configure_logs(read.log_level, read.host)
    try:
        asyncio.run(run_entry(read))
    except exceptions.ThornspoolError as error:
        logger.error('entry_failed', reason=str(error))
        print(error, file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


async def run_entry(read: settings.Settings) -> None:
    """Run an entry until a signal or an operator has drained it.

    Parameters
    ----------
    read : settings.Settings
        Checked settings.
    """
    seed = read.seed
    if seed is None:
        seed = random.SystemRandom().getrandbits(64)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    one = entry.Entry(read, clock.Clock(), random.Random(seed), stopping.set)
    addresses = await one.start()
    print(msgspec.json.encode(addresses).decode(), flush=True)
    logger.info('entry_started', seed=seed, callers=addresses.callers)
    await stopping.wait()
    await one.stop()
    logger.info('entry_stopped')


if __name__ == '__main__':
    sys.exit(main())
