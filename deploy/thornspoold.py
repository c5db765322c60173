"""Start an entry on the platform from a checkout."""

from __future__ import annotations

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'src'))

from thornspool.platform import daemon  # noqa: E402

if __name__ == '__main__':
    sys.exit(daemon.main())
