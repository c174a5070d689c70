"""Placement of servers and keys on the ring, compared with a reference implementation."""

from __future__ import annotations

import pytest

from cache_router.decisions.hash_ring import (
    RANK_BITS,
    RANK_MASK,
    SLOT_MASK,
    SUFFIX_BITS,
    HashRing,
    member_points,
    ring_hash,
    virtual_nodes,
)
from cache_router.endpoint import EndpointState
from tests.support.driver import Driver, DriverFactory
from tests.support.reference_ring import primary_server, ring_positions
from tests.support.router_inputs import entry, settings
from tests.support.router_scenarios import primary_servers


def test_digest_gives_eight_positions() -> None:
    assert list(ring_hash("a-vnode-0")) == ring_positions("a-vnode-0")
    # BLAKE2b-512 of the empty text begins 786a02f742015903
    assert ring_hash("")[0] == 0x786A02F742015903


def test_more_weight_adds_points_and_moves_none() -> None:
    assert virtual_nodes("s", 100)[:37] == virtual_nodes("s", 37)


def test_points_hold_position_slot_and_rank() -> None:
    points = member_points("s", slot=7, count=20)
    assert tuple(point >> SUFFIX_BITS for point in points) == virtual_nodes("s", 20)
    assert {point >> RANK_BITS & SLOT_MASK for point in points} == {7}
    assert [point & RANK_MASK for point in points] == list(range(20))


def test_walk_scales_the_ranks_of_each_member_alike() -> None:
    """A warming server uses the points up to a rank, its share; all routers have to agree on these points."""
    ring: HashRing[str] = HashRing()
    ring.place("a", "a", 4)
    ring.place("b", "b", 8)
    walked = list(ring.walk(0))
    assert sorted(rank for member, rank in walked if member == "a") == [0.125, 0.375, 0.625, 0.875]
    assert sum(rank <= 0.5 for member, rank in walked if member == "b") == 4


def test_primary_server_has_the_first_point_clockwise(make_driver: DriverFactory) -> None:
    driver = make_driver(entry("a", weight=2), entry("b", weight=1), entry("c", weight=1))
    for n in range(200):
        server = driver.request(f"r{n}", key=f"k{n}")
        assert server == primary_server(f"k{n}", {"a": 128, "b": 64, "c": 64})
        driver.serve(f"r{n}")


@pytest.mark.parametrize("size", [10, 90, 300])
def test_shares_of_the_ring_follow_the_weights(make_driver: DriverFactory, size: int) -> None:
    """The number of points grows with the fleet; with a fixed total most servers would have one or none."""
    driver = make_driver(*(entry(f"s{i}", weight=1 + i % 2) for i in range(size)))
    ring = list(driver.router.endpoints.ring.points())
    arcs = dict.fromkeys(driver.router.endpoints.servers, 0)
    previous = ring[-1][0] - 2**64
    for point, server in ring:
        arcs[server.endpoint.name] += point - previous
        previous = point
    for i, arc in enumerate(arcs.values()):
        fair_arc = 2**64 * (1 + i % 2) / (size + size // 2)
        assert 0.6 < arc / fair_arc < 1.5  # about four standard deviations with 64 points


@pytest.mark.parametrize("size", [10, 90, 300])
def test_join_or_removal_moves_only_the_keys_of_that_server(driver: Driver, size: int) -> None:
    endpoints = [entry(f"s{i}") for i in range(size)]
    driver.update_endpoints(*endpoints)
    before = primary_servers(driver, "a")
    driver.update_endpoints(*endpoints[:-1])
    after = primary_servers(driver, "b")
    moved = [key for key, server in enumerate(before) if server != after[key]]
    assert {before[key] for key in moved} == {f"s{size - 1}"}
    assert len(moved) < 2 * 2000 / size
    driver.update_endpoints(*reversed(endpoints))  # the order of the list does not matter
    assert primary_servers(driver, "c") == before


def test_placement_does_not_depend_on_earlier_endpoint_updates() -> None:
    one, other = Driver(settings(), seed=1), Driver(settings(), seed=2)
    one.update_endpoints(*(entry(n) for n in "abcd"))
    other.update_endpoints(*(entry(n) for n in "dx"))
    other.update_endpoints(entry("d", started_at=50.0), entry("x", state=EndpointState.DRAINING))
    other.update_endpoints(*(entry(n) for n in "cbda"))
    assert primary_servers(one, "r") == primary_servers(other, "r")


def test_live_weights_move_no_keys(make_driver: DriverFactory) -> None:
    """If points followed the live weights, every update would move keys to servers that do not have them."""
    driver = make_driver(
        entry("a", kind="x"), entry("b", kind="x"), entry("c", kind="y", weight=2.0), live_weights=True
    )
    before = primary_servers(driver, "a")
    driver.update_endpoints(
        entry("a", kind="x", weight=0.6), entry("b", kind="x", weight=0.9), entry("c", kind="y", weight=1.1)
    )
    assert primary_servers(driver, "b") == before


def test_share_of_keys_follows_the_weights(make_driver: DriverFactory) -> None:
    driver = make_driver(entry("big", weight=9), entry("small", weight=1))
    servers = [driver.request(f"r{n}", key=f"k{n}", finish=True) for n in range(1000)]
    assert 800 < servers.count("big") < 980
