"""Entry point of the router process: configuration, logging and exit status."""

from __future__ import annotations

import asyncio
import logging
import os
import sys

from cache_router.config import Config, ConfigError, config_path, load_config
from cache_router.log_limit import LogLimit
from cache_router.net.fair_selector import FairSelector
from cache_router.process_signals import block_signals
from cache_router.server import serve

CONFIG_ERROR_STATUS = 2  # exit status of the process after a `ConfigError`
LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def main() -> int:
    """Run one router with the configuration file that the environment names, and return the exit status."""
    log_limit = LogLimit()
    handler = logging.StreamHandler()
    handler.addFilter(log_limit)
    logging.basicConfig(level=logging.INFO, format=LOG_FORMAT, handlers=[handler])
    try:
        path = config_path(os.environ)
        config = load_config(path)
        selector = FairSelector()
        with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
            runner.run(_serve_until_shutdown(config, path, selector, log_limit))
    except ConfigError as error:
        print(f"cache_router: {error}", file=sys.stderr)
        return CONFIG_ERROR_STATUS
    return 0


async def _serve_until_shutdown(
    config: Config, path: str, selector: FairSelector, log_limit: LogLimit
) -> None:
    """Serve until shutdown, then block signals, so that none of them changes the exit status.

    The event loop removes its signal handlers when it closes, before the interpreter has exited.
    """
    await serve(config, path, selector, log_limit)
    block_signals()
