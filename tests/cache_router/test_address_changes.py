"""Changes of discovery's address during an outage, with a real router process.

`decisions/test_single_timers.py` describes the fault.
"""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Iterator
from pathlib import Path

import orjson
import pytest

from cache_router.decisions.endpoint_polling import BACKOFF_JITTER
from cache_router.settings import MIN_BACKOFF, Settings
from cache_router.settings_reader import read_settings
from tests.support.loopback import Peer, format_address
from tests.support.router_process import (
    PROCESS_TEST_TIMEOUT,
    config_with_cache,
    read_log_until,
    router_process,
)

ADDRESS_CHANGES = 40


@pytest.fixture
def closed_address() -> Iterator[str]:
    """An address that refuses connections, and that no other process can bind."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield format_address(bound.getsockname())


def min_duration(settings: Settings, polls: int) -> float:
    """Return the minimum time in seconds from the first to the last of several failing polls."""
    total = 0.0
    backoff = settings.overload_window / 2
    for _ in range(polls - 1):
        bounded = min(backoff, settings.watch_budget.max_backoff)
        total += max(MIN_BACKOFF, BACKOFF_JITTER[0] * bounded)
        backoff *= 2
    return total


@pytest.mark.time_limit(PROCESS_TEST_TIMEOUT)
@pytest.mark.parametrize(("mode", "observed_polls"), [("automatic", 30), ("subscribe", 8)])
async def test_backoff_is_kept_after_many_changes_of_address(
    mode: str, observed_polls: int, closed_address: str, tmp_path: Path
) -> None:
    """A given number of failing polls takes a minimum time, also on a busy machine.

    The fault: each change of the address started another chain of polls, so that the same number of polls
    took only a small part of that time.
    """
    path = tmp_path / "config.json"
    async with Peer() as cache, Peer() as reachable:
        config = config_with_cache(cache, reachable, mode)
        addresses = [closed_address, closed_address.replace("127.0.0.1", "127.0.0.2")]
        config["discovery"] = addresses[1]
        async with router_process(config, path) as process:
            await read_log_until(process, f"discovery {addresses[1]}: 1 consecutive failure")
            for discovery in addresses * (ADDRESS_CHANGES // 2):
                path.write_bytes(orjson.dumps({**config, "discovery": discovery}))
                process.send_signal(signal.SIGHUP)
                await read_log_until(process, f"discovery {discovery}: 1 consecutive failure")
            path.write_bytes(orjson.dumps({**config, "discovery": reachable.address}))
            process.send_signal(signal.SIGHUP)
            (await reachable.accept_connection()).reset()
            started_at = asyncio.get_running_loop().time()
            for _ in range(observed_polls - 1):
                (await reachable.accept_connection()).reset()
            elapsed = asyncio.get_running_loop().time() - started_at
            assert elapsed >= min_duration(read_settings(config["settings"]), observed_polls)
