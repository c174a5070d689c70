"""Runs one router: `python -m cache_router`."""

from __future__ import annotations

import sys

from cache_router.server import main

if __name__ == "__main__":
    sys.exit(main())
