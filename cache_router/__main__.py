"""Runs one router: `python -m cache_router`."""

import sys

from cache_router.process_signals import block_signals

if __name__ == "__main__":
    block_signals()
    # Signals are blocked before this import, which takes most of the startup time.
    from cache_router.program import main

    sys.exit(main())
