"""Start an entry on the platform from a source checkout."""

from __future__ import annotations

import pathlib
import sys

SOURCE_FOLDER = pathlib.Path(__file__).parents[1] / 'src'


def main() -> int:
    """Run the daemon with the sources of this checkout."""
    sys.path.insert(0, str(SOURCE_FOLDER))
    from thornspool.platform import daemon

    return daemon.main()


if __name__ == '__main__':
    sys.exit(main())
