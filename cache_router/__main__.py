"""Runs one router: `python -m cache_router`."""

from __future__ import annotations

import asyncio
import logging
import os
import sys

from cache_router.config import ConfigError, config_path, load_config
from cache_router.server import serve

UNUSABLE_CONFIG_STATUS = 2  # exit status of the process
LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def main() -> int:
    """Run one router with the configuration file that the environment names; returns the exit status."""
    logging.basicConfig(level=logging.INFO, format=LOG_FORMAT)
    try:
        path = config_path(os.environ)
        asyncio.run(serve(load_config(path), path))
    except ConfigError as error:
        print(f"cache_router: {error}", file=sys.stderr)
        return UNUSABLE_CONFIG_STATUS
    return 0


if __name__ == "__main__":
    sys.exit(main())
