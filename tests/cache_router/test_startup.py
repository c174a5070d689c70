"""Startup of the program: its log, and the work that a long endpoint list causes."""

from __future__ import annotations

import asyncio
import os
import re
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Any

import orjson
import pytest

from cache_router.config import read_config
from cache_router.decisions.events import EndpointUpdateKind
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.endpoint_list_reader import read_endpoint_list
from cache_router.net.origin_connection import OriginConnection
from tests.support.endpoint_lists import ENDPOINT_ENTRY, encode_endpoint_list
from tests.support.loopback import Clients, Peer, encode_http_response
from tests.support.router_process import (
    PROCESS_TEST_TIMEOUT,
    VALID_CONFIG,
    config_with_cache,
    listen_address,
    router_process,
)

LOG_TIME = r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3}"


def cache_entries(count: int) -> list[dict[str, Any]]:
    """Return entries of cache servers; these tests never connect to their addresses."""
    return [
        {
            **ENDPOINT_ENTRY,
            "name": f"s-{n:08x}",
            "address": f"10.1.{n // 200}.{n % 200 + 1}:6379",
            "type": "std",
        }
        for n in range(count)
    ]


class RouterStart:
    """Startup work of the program: it applies a cached endpoint list, then an equal first snapshot."""

    def __init__(self, count: int) -> None:
        """Prepare a configuration and a snapshot with `count` cache servers."""
        entries = cache_entries(count)
        self.config = {**VALID_CONFIG, "known": {"index": 1, "snapshot": True, "endpoints": entries}}
        self.encoded_config = orjson.dumps(self.config)
        self.snapshot = encode_endpoint_list(2, True, *entries)

    def run(self) -> None:
        """Read the configuration, and pass both lists to the dispatcher."""
        config = read_config(self.encoded_config)
        servers = ConnectionPool(CacheConnection, 8, 1.0, 60.0)
        origin = ConnectionPool(OriginConnection, 8, 1.0, 60.0)
        dispatcher = Dispatcher(config.settings, config.seed, servers, origin, lambda: None)
        dispatcher.on_endpoint_update(EndpointUpdateKind.CACHED, config.cached_endpoints)
        update = read_endpoint_list(orjson.loads(self.snapshot))
        dispatcher.on_endpoint_update(EndpointUpdateKind.SNAPSHOT, update.endpoints)

    def count_calls(self) -> int:
        """Return the number of function calls in a run, including calls of C functions."""
        calls = 0

        def count(frame: FrameType, event: str, argument: object) -> None:
            nonlocal calls
            calls += event in ("call", "c_call")

        sys.setprofile(count)
        try:
            self.run()
        finally:
            sys.setprofile(None)
        return calls

    def measure_seconds(self) -> float:
        """Return the least processor time of five runs, in seconds."""
        times = []
        for _ in range(5):
            started_at = time.process_time()
            self.run()
            times.append(time.process_time() - started_at)
        return min(times)


def test_startup_work_grows_no_faster_than_the_endpoint_list() -> None:
    """With 840 entries and a shared core, nine out of ten routers must be ready within 10 s."""
    small, large = RouterStart(210), RouterStart(840)
    assert large.count_calls() < 1.25 * 4 * small.count_calls()
    # The time also covers work in C, which the number of calls does not show.
    assert large.measure_seconds() < 3.0 * 4 * small.measure_seconds()


def processor_seconds(process: asyncio.subprocess.Process) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return sum(map(int, fields[11:13])) / os.sysconf("SC_CLK_TCK")


@pytest.mark.time_limit(PROCESS_TEST_TIMEOUT)
async def test_startup_with_840_entries_polls_the_complete_list_once(
    clients: Clients, tmp_path: Path, record_property: Callable[[str, object], None]
) -> None:
    """When many routers start together, a second poll for the list would wait behind all first polls."""
    async with Peer() as agent:
        entries = cache_entries(840)
        config = config_with_cache(agent, agent, "automatic")
        config["known"]["endpoints"] = entries
        async with router_process(config, tmp_path / "config.json") as process:
            poll = await agent.accept_connection()
            assert "after=1&" in (await poll.read_http())[0]
            poll.write(encode_http_response("200 OK", encode_endpoint_list(2, True, *entries)))
            client = await clients.connect_and_ping(await listen_address(process.stderr))
            record_property("processor_seconds", processor_seconds(process))
            watch = (
                await agent.accept_connection()
            )  # a poll for later changes, not for the complete list again
            first, _, _ = await watch.read_http()
            assert "after=2&" in first
            assert "wait_ms=0 " not in first
            await client.ping()
            assert agent.links.empty()
            client.close()


@pytest.mark.time_limit(PROCESS_TEST_TIMEOUT)
async def test_log_line_has_time_level_logger_and_message(tmp_path: Path) -> None:
    """The runbook for on-call engineers names the loggers."""
    async with Peer() as agent:
        config = config_with_cache(agent, agent, "subscribe")
        async with router_process(config, tmp_path / "config.json") as process:
            assert process.stderr is not None
            line = (await process.stderr.readline()).decode()
            assert re.fullmatch(
                rf"{LOG_TIME} INFO cache_router\.server listening on 127\.0\.0\.1:\d+\n", line
            )
