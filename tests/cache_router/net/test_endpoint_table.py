"""The endpoint table: lookup, stale connections after an update, and the cost of an update."""

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
from cache_router.net.endpoint_table import EndpointTable, NetworkEndpoint
from cache_router.net.origin_connection import OriginConnection
from tests.support.loopback import HIT, format_address
from tests.support.loopback_router import Router, network_endpoint
from tests.support.router_inputs import entry, settings

ADDRESS = "127.0.0.1:1"
A, B = network_endpoint("a", ADDRESS), network_endpoint("b", ADDRESS)
ORIGIN = network_endpoint("o", ADDRESS, "origin")


@pytest.mark.parametrize("change", ["removed", "draining", "restarted", "replaced"])
async def test_idle_connections_to_an_ended_process_are_closed(router: Router, change: str) -> None:
    """A failed machine never closes its connections, and another process may be started at its address."""
    client, cache = await router.start_read()
    cache.write(HIT)
    assert await client.read_resp() == b"value"
    assert router.cache_pool.idle_count == 1
    address = format_address(cache.writer.get_extra_info("sockname"))
    endpoints = router.dispatcher.endpoints
    (name,) = (n for n in endpoints if endpoints[n].address == address)
    entry = endpoints[name].entry
    updated = {
        "removed": replace(entry, state=EndpointState.REMOVED),
        "draining": replace(entry, state=EndpointState.DRAINING),
        "restarted": replace(entry, started_at=9.0),
        "replaced": replace(entry, state=EndpointState.REMOVED),
    }
    changes = [NetworkEndpoint(updated[change], address)]
    if change == "replaced":
        changes.append(NetworkEndpoint(replace(entry, name="new"), address))
    router.dispatcher.on_endpoint_update(EndpointUpdateKind.DELTA, changes)
    assert await cache.closed_by_peer()


def make_pools() -> tuple[ConnectionPool, ConnectionPool]:
    """Return an empty pool of connections to cache servers, and one to origins."""
    return ConnectionPool(CacheConnection, 8, 1.0, 60.0), ConnectionPool(OriginConnection, 8, 1.0, 60.0)


def test_complete_list_replaces_the_entries_and_changed_entries_are_added() -> None:
    """A server that stayed in the table after its removal would be sent requests."""
    endpoints = EndpointTable(*make_pools(), "origin")
    endpoints.apply(EndpointUpdateKind.SNAPSHOT, [A, B])
    assert (list(endpoints), len(endpoints)) == (["a", "b"], 2)
    endpoints.apply(EndpointUpdateKind.SNAPSHOT, [B])
    assert list(endpoints) == ["b"]
    endpoints.apply(EndpointUpdateKind.DELTA, [A, ORIGIN])
    assert list(endpoints) == ["b", "a", "o"]
    removed = replace(B.entry, state=EndpointState.REMOVED)
    endpoints.apply(EndpointUpdateKind.DELTA, [NetworkEndpoint(removed, ADDRESS)])
    assert list(endpoints) == ["a", "o"]
    assert endpoints.get("b") is None
    assert endpoints["a"] is endpoints.get("a") is A


@pytest.mark.parametrize(
    ("entry", "is_sendable"),
    [
        (A.entry, True),
        (replace(A.entry, weight=0.5), True),
        (replace(A.entry, state=EndpointState.DRAINING), False),
        (replace(A.entry, state=EndpointState.REMOVED), False),
        (replace(A.entry, started_at=9.0), False),
    ],
    ids=["same", "weight", "draining", "removed", "restarted"],
)
def test_endpoint_is_sendable_while_the_same_incarnation_is_ready(entry: Endpoint, is_sendable: bool) -> None:
    """An attempt is meant for one process; another process at its address caches other keys."""
    endpoints = EndpointTable(*make_pools(), "origin")
    endpoints.apply(EndpointUpdateKind.SNAPSHOT, [A])
    endpoints.apply(EndpointUpdateKind.DELTA, [NetworkEndpoint(entry, ADDRESS)])
    assert endpoints.is_sendable(A) is is_sendable


def test_origins_have_a_pool_of_their_own() -> None:
    """Origins speak another protocol; without an origin kind, all endpoints are cache servers."""
    caches, origins = make_pools()
    endpoints = EndpointTable(caches, origins, "origin")
    assert endpoints.pool_of(A) is caches
    assert endpoints.pool_of(ORIGIN) is origins
    assert EndpointTable(caches, origins, None).pool_of(ORIGIN) is caches


def test_ready_cache_is_neither_draining_nor_an_origin() -> None:
    """A router without a ready cache can serve no reads, so its health check must fail."""
    endpoints = EndpointTable(*make_pools(), "origin")
    endpoints.apply(EndpointUpdateKind.SNAPSHOT, [ORIGIN])
    assert not endpoints.has_ready_cache()
    draining = replace(A.entry, state=EndpointState.DRAINING)
    endpoints.apply(EndpointUpdateKind.DELTA, [NetworkEndpoint(draining, ADDRESS)])
    assert not endpoints.has_ready_cache()
    endpoints.apply(EndpointUpdateKind.DELTA, [B])
    assert endpoints.has_ready_cache()


def count_bytecodes(work: Callable[[], object]) -> int:
    """Return the number of bytecodes that `work` executes, which does not depend on the machine's load."""
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
    """Return a dispatcher without a listener and without endpoints."""
    return Dispatcher(settings(), 1, *make_pools(), lambda: None)


def update_cost(change: Endpoint, size: int) -> int:
    """Return the number of bytecodes that applying a change executes, in a list of `size` servers.

    An event loop must be running.
    """
    dispatcher = make_dispatcher()
    endpoints = [NetworkEndpoint(entry(f"s{i}"), f"127.0.0.1:{1000 + i}") for i in range(size)]
    dispatcher.on_endpoint_update(EndpointUpdateKind.SNAPSHOT, endpoints)
    dispatcher.on_endpoint_update(
        EndpointUpdateKind.DELTA, [NetworkEndpoint(entry("s0"), endpoints[0].address)]
    )
    return count_bytecodes(
        lambda: dispatcher.on_endpoint_update(
            EndpointUpdateKind.DELTA, [NetworkEndpoint(change, endpoints[0].address)]
        )
    )


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
async def test_update_costs_no_more_than_in_proportion_to_the_list(change: Endpoint) -> None:
    """Rebuilding the whole ring for each change caused pauses of 33 to 48 ms with 840 servers."""
    small, large = update_cost(change, 60), update_cost(change, 240)
    assert large - small <= 180 * 128 / 2  # half a bytecode per virtual node of the 180 added servers
    assert large < 4 * small


async def test_empty_update_costs_the_same_for_any_list() -> None:
    """Long polls that ended without a change used to rebuild the ring several times a minute."""
    dispatcher = make_dispatcher()
    counts = []
    for size in (10, 200):
        dispatcher.on_endpoint_update(
            EndpointUpdateKind.SNAPSHOT, [NetworkEndpoint(entry(f"s{i}"), "127.0.0.1:1") for i in range(size)]
        )
        counts.append(count_bytecodes(lambda: dispatcher.on_endpoint_update(EndpointUpdateKind.DELTA, [])))
    assert counts[0] == counts[1]
