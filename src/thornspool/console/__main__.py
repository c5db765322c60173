"""Entry point of ``python -m thornspool.console``."""

from __future__ import annotations

import sys

from thornspool.console import application

if __name__ == '__main__':
    sys.exit(application.main())
