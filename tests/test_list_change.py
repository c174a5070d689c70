"""What a change of the list costs: counted in the interpreter's steps, which no busy machine changes."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace
from types import FrameType
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.decisions.hash_ring import BUCKET_FILL, HashRing
from cache_router.endpoint import Endpoint, EndpointState
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.endpoint_table import NetworkEndpoint
from cache_router.net.origin_connection import OriginConnection
from tests.driver import entry, settings
from tests.loopback import run


def steps(work: Callable[[], object]) -> int:
    """How many bytecodes of ours run; what C code does for one of them is not seen."""
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


def cost_of(change: Endpoint, size: int) -> int:
    """Of one entry that changes in a list of so many, from the host on."""
    counted = 0

    async def scenario() -> None:
        nonlocal counted
        pools = ConnectionPool(CacheConnection, 8, 1.0, 60.0), ConnectionPool(OriginConnection, 8, 1.0, 60.0)
        host = Dispatcher(settings(), 1, *pools, lambda: None)
        members = [NetworkEndpoint(entry(f"s{i}"), f"127.0.0.1:{1000 + i}") for i in range(size)]
        host.on_endpoint_update(EndpointUpdateKind.SNAPSHOT, members)
        host.on_endpoint_update(EndpointUpdateKind.DELTA, [NetworkEndpoint(entry("s0"), members[0].address)])
        counted = steps(
            lambda: host.on_endpoint_update(
                EndpointUpdateKind.DELTA, [NetworkEndpoint(change, members[0].address)]
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
    ids=["drain", "gone", "restart", "weight", "join"],
)
def test_a_change_costs_no_more_than_in_proportion_to_the_list(change: Endpoint) -> None:
    """All points in one list and one table went through the interpreter with each change: it answered
    nobody for 33 to 48 ms at 840 servers, and for the square of that at twice as many."""
    small, large = cost_of(change, 60), cost_of(change, 240)
    assert large - small <= 180 * 128 / 2  # half a step for each point of the others, where it was a dozen
    assert large < 4 * small


def test_no_news_costs_nothing() -> None:
    """A watch that ends its wait without news came with a new ring, some times a minute at every router."""

    async def scenario() -> None:
        pools = ConnectionPool(CacheConnection, 8, 1.0, 60.0), ConnectionPool(OriginConnection, 8, 1.0, 60.0)
        host = Dispatcher(settings(), 1, *pools, lambda: None)
        counts = []
        for size in (10, 200):
            host.on_endpoint_update(
                EndpointUpdateKind.SNAPSHOT,
                [NetworkEndpoint(entry(f"s{i}"), "127.0.0.1:1") for i in range(size)],
            )
            counts.append(steps(lambda: host.on_endpoint_update(EndpointUpdateKind.DELTA, [])))
        assert counts[0] == counts[1]

    run(scenario)


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 90)), max_size=60), st.integers(0, 2**64 - 1))
def test_rings_of_the_same_members_agree_whatever_they_went_through(
    moves: list[tuple[int, int]], position: int
) -> None:
    ring: HashRing[str] = HashRing()
    for member, count in moves:
        ring.place(f"m{member}", f"m{member}", count)
    counts = {f"m{member}": count for member, count in moves}
    other: HashRing[str] = HashRing()
    for name in sorted(counts):
        other.place(name, name, counts[name])
    points = list(ring.points())
    assert points == list(other.points()) and len(points) == ring.size == sum(counts.values())
    assert points == sorted(points)
    around = [p for p in points if p[0] >= position] + [p for p in points if p[0] < position]
    walked = list(ring.walk(position))
    assert [m for m, _ in walked] == [m for _, m in around] and walked == list(other.walk(position))
    for name, count in counts.items():
        ranks = sorted(rank for m, rank in walked if m == name)
        assert ranks == [(j + 0.5) / count for j in range(count)]


def test_buckets_follow_the_number_of_points_both_ways() -> None:
    ring: HashRing[int] = HashRing()
    for n in range(300):
        ring.place(f"m{n}", n, 128)
        assert BUCKET_FILL / 8 <= ring.size / len(ring._buckets) <= BUCKET_FILL * 8
    for n in range(300):
        ring.place(f"m{n}", n, 0)
    assert ring._buckets == [[]] and not ring._counts and not ring._slots
    assert ring._members.count(None) == len(ring._free_slots) == 300
    ring.place("again", 1, 8)
    assert len(ring._members) == 300 and len(list(ring.walk(0))) == 8


def test_a_member_that_comes_again_replaces_itself() -> None:
    """A server that has restarted leaves nothing of its former self on the ring."""
    ring: HashRing[Endpoint] = HashRing()
    old = entry("a")
    ring.place("a", old, 16)
    ring.place("a", old, 0)
    ring.place("a", replace(old, started_at=1.0), 16)
    assert {m.started_at for m, _ in ring.walk(0)} == {1.0}
