"""Start an entry on the platform from a source checkout."""

from __future__ import annotations

import pathlib
import signal
import sys

SOURCE_FOLDER = pathlib.Path(__file__).parents[1] / 'src'


def main() -> int:
    """Run the daemon with the sources of this checkout."""
    # The settings are read later, so a change of the file needs no signal.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.path.insert(0, str(SOURCE_FOLDER))
    from thornspool.platform import daemon

    return daemon.main()


if __name__ == '__main__':
    sys.exit(main())
