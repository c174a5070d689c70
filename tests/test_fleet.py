"""The simulation of many instances: it answers everything once, and a seed gives the same figures."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cache_router.endpoint import EndpointState
from scale_experiments.simulation.connection_accounting import ConnectionCount
from scale_experiments.simulation.fleet import Fleet
from scale_experiments.simulation.model import FleetModel, site_settings

SMALL = FleetModel(
    routers=4,
    caches=6,
    requests_per_s=20.0,
    zones=3,
    regions=3,
    objects=500,
    cached_objects=50,
    cores=1,
    origin_cores=2,
)


def troubled(seed: int) -> Fleet:
    """A small fleet that loses a cache and has it back, with a region cut off meanwhile."""
    fleet = Fleet(site_settings(connection_price=0.06, handshake_price=0.06), SMALL, seed)
    fleet.run(3.0)
    lost = ["s-00000001"]
    fleet.fail_servers(lost)
    fleet.notify_all(lost, EndpointState.REMOVED, 1.0, 0.5)
    fleet.cut = {2}
    fleet.run(3.0)
    fleet.cut = set()
    fleet.restore_servers(lost)
    fleet.caches[lost[0]].arrivals = []
    fleet.notify_all(lost, EndpointState.READY, 0.5, 0.5)
    fleet.run(3.0)
    return fleet


def test_every_request_gets_one_answer() -> None:
    fleet = troubled(1)
    asked = fleet.asked
    assert asked > 500
    open_now = {t.name for i in fleet.instances for t in i.requests.values() if not t.closed}
    assert fleet.answers == asked - len(open_now)
    assert fleet.counts["timeouts"] > 0, "the loss was seen"


def test_connections_are_counted_alike_at_both_ends() -> None:
    fleet = troubled(2)
    dialling = sum(i.table.now for i in fleet.instances) - sum(c.table.now for c in fleet.caches.values())
    assert 0 <= dialling <= 4, "only what is not up yet counts at the router alone"
    assert all(len(i.idle) <= i.table.now for i in fleet.instances)


def test_a_region_that_is_cut_off_reaches_its_own() -> None:
    for everywhere in (False, True):
        fleet = Fleet(site_settings(), replace(SMALL, origin_always_reachable=everywhere), 1)
        fleet.cut = {2}
        inside, outside = fleet.instances[2], fleet.instances[0]
        reached = [[fleet.reachable(i, c) for c in fleet.caches.values()] for i in (inside, outside)]
        assert reached == [[False, False, True] * 2, [True, True, False] * 2]
        assert (fleet.reachable(inside, fleet.origin), fleet.reachable(outside, fleet.origin)) == (
            everywhere,
            True,
        )


def test_a_seed_gives_the_same_figures() -> None:
    one, two, other = troubled(3), troubled(3), troubled(4)
    assert (one.counts, one.latencies) == (two.counts, two.latencies)
    assert one.counts != other.counts


def test_what_a_cold_cache_received_is_set_against_its_budget() -> None:
    fleet = troubled(5)
    cache = fleet.caches["s-00000001"]
    cache.arrivals = [100.0] * 30
    strict, slack = fleet.overload(cache, 99.0, window=2.0, multiple=4.0)
    budget = 4.0 * fleet.capacity(cache, 1.0, 2.0)
    assert strict == pytest.approx(30 / budget)
    assert slack < strict
    # warm at 8.9 s: half of the last window lies beyond
    assert fleet.capacity(cache, 8.9, 2.0) == pytest.approx(2.0 / SMALL.mean_service_time)
    assert fleet.capacity(cache, 0.0, 8.9) == pytest.approx(0.66 * 8.9 / SMALL.mean_service_time)


def test_what_a_sample_holds_is_scaled_to_the_fleet() -> None:
    table = ConnectionCount(0.0)
    table.add(3, 1.0)
    table.add(-1, 3.0)
    assert table.mean(5.0) == pytest.approx((3 * 2 + 2 * 2) / 5)
    assert table.most == 3
    variance = (9 * 2 + 4 * 2) / 5 - 2.0**2
    assert table.high(5.0, 10.0) == pytest.approx(20 + 2.326 * (10 * variance) ** 0.5)
