"""Start an entry on the platform from a checkout."""

from __future__ import annotations

import pathlib
import sys

SOURCES = pathlib.Path(__file__).parents[1] / 'src'


def main() -> int:
    """Run the entry with the sources beside this file."""
    sys.path.insert(0, str(SOURCES))
    from thornspool.platform import daemon

    return daemon.main()


if __name__ == '__main__':
    sys.exit(main())
