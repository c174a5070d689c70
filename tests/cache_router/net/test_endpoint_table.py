"""The endpoint table: connections that an update makes useless, and what an update costs."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace
from types import FrameType
from typing import Any

import pytest

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.endpoint import Endpoint, EndpointState
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.endpoint_table import NetworkEndpoint
from cache_router.net.origin_connection import OriginConnection
from tests.support.driver import entry, settings
from tests.support.loopback import HIT, Router, run


@pytest.mark.parametrize("change", ["removed", "draining", "restarted", "replaced"])
def test_idle_connections_to_an_ended_process_are_closed(change: str) -> None:
    """A machine that vanished never closes them, and another process may come to its address."""

    async def scenario() -> None:
        async with Router() as router:
            client, cache = await router.start_read()
            cache.write(HIT)
            assert await client.resp() == b"value"
            (connection,) = router.cache_pool.idle
            (name,) = (n for n, e in router.dispatcher.endpoints.items() if e.address == connection.address)
            entry = router.dispatcher.endpoints[name].entry
            updated = {
                "removed": replace(entry, state=EndpointState.REMOVED),
                "draining": replace(entry, state=EndpointState.DRAINING),
                "restarted": replace(entry, started_at=9.0),
                "replaced": replace(entry, state=EndpointState.REMOVED),
            }
            endpoints = [NetworkEndpoint(updated[change], connection.address)]
            if change == "replaced":
                endpoints.append(NetworkEndpoint(replace(entry, name="new"), connection.address))
            router.dispatcher.on_endpoint_update(EndpointUpdateKind.DELTA, endpoints)
            assert await cache.closed_by_peer()

    run(scenario)


def count_bytecodes(work: Callable[[], object]) -> int:
    """Count the bytecodes of Python code; unlike a time, the count is the same on a busy machine."""
    count = 0

    def trace(frame: FrameType, event: str, _: Any) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(None)
    return count


def make_dispatcher() -> Dispatcher:
    """Return a dispatcher without a listener, which knows no endpoints yet."""
    caches = ConnectionPool(CacheConnection, 8, 1.0, 60.0)
    origins = ConnectionPool(OriginConnection, 8, 1.0, 60.0)
    return Dispatcher(settings(), 1, caches, origins, lambda: None)


def update_cost(change: Endpoint, size: int) -> int:
    """Count the bytecodes that the dispatcher runs when one entry changes in a list of so many."""
    counted = 0

    async def scenario() -> None:
        nonlocal counted
        dispatcher = make_dispatcher()
        endpoints = [NetworkEndpoint(entry(f"s{i}"), f"127.0.0.1:{1000 + i}") for i in range(size)]
        dispatcher.on_endpoint_update(EndpointUpdateKind.SNAPSHOT, endpoints)
        dispatcher.on_endpoint_update(
            EndpointUpdateKind.DELTA, [NetworkEndpoint(entry("s0"), endpoints[0].address)]
        )
        counted = count_bytecodes(
            lambda: dispatcher.on_endpoint_update(
                EndpointUpdateKind.DELTA, [NetworkEndpoint(change, endpoints[0].address)]
            )
        )

    run(scenario)
    return counted


@pytest.mark.parametrize(
    "change",
    [
        entry("s0", state=EndpointState.DRAINING),
        entry("s0", state=EndpointState.REMOVED),
        entry("s0", started_at=50.0),
        entry("s0", weight=0.5),
        entry("new"),
    ],
    ids=["drain", "removal", "restart", "weight", "join"],
)
def test_update_costs_no_more_than_in_proportion_to_the_list(change: Endpoint) -> None:
    """When each change rebuilt all points of the ring, 840 servers cost a pause of 33 to 48 ms."""
    small, large = update_cost(change, 60), update_cost(change, 240)
    assert large - small <= 180 * 128 / 2  # half a bytecode for each point of the others
    assert large < 4 * small


def test_empty_update_costs_the_same_for_any_list() -> None:
    """A watch whose wait ends without a change used to rebuild the ring several times a minute."""

    async def scenario() -> None:
        dispatcher = make_dispatcher()
        counts = []
        for size in (10, 200):
            dispatcher.on_endpoint_update(
                EndpointUpdateKind.SNAPSHOT,
                [NetworkEndpoint(entry(f"s{i}"), "127.0.0.1:1") for i in range(size)],
            )
            counts.append(
                count_bytecodes(lambda: dispatcher.on_endpoint_update(EndpointUpdateKind.DELTA, []))
            )
        assert counts[0] == counts[1]

    run(scenario)
