"""The simulated fleet: one final answer per request, and reproducible statistics for a seed."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cache_router.endpoint import EndpointState
from scale_experiments.simulation.connection_accounting import ConnectionCount
from scale_experiments.simulation.fleet import Fleet
from scale_experiments.simulation.model import FleetModel, site_settings
from scale_experiments.simulation.slow_start import budget_use, capacity_within
from scale_experiments.simulation.statistics import CountedEvent

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


def fleet_after_faults(seed: int) -> Fleet:
    """Return a small fleet after the failure and restart of a cache server and the isolation of a region."""
    fleet = Fleet(site_settings(connection_price=0.06, handshake_price=0.06), SMALL, seed)
    fleet.run(3.0)
    failed = ["s-00000001"]
    fleet.fail_servers(failed)
    fleet.send_endpoint_updates(failed, EndpointState.REMOVED, 1.0, 0.5)
    fleet.network.isolate_region(2)
    fleet.run(3.0)
    fleet.network.reconnect_regions()
    fleet.restore_servers(failed)
    fleet.caches[failed[0]].record_arrivals()
    fleet.send_endpoint_updates(failed, EndpointState.READY, 0.5, 0.5)
    fleet.run(3.0)
    return fleet


def test_every_request_gets_one_answer() -> None:
    fleet = fleet_after_faults(1)
    requests = fleet.statistics.requests_since_start
    assert requests > 500
    pending = [p for r in fleet.routers for p in r.requests.values() if not p.is_answered]
    assert fleet.statistics.answers_since_start == requests - len(pending)
    assert fleet.statistics.counts[CountedEvent.TIMEOUT] > 0, "no attempt at the failed server timed out"


def test_both_ends_count_the_same_connections() -> None:
    fleet = fleet_after_faults(2)
    at_routers = sum(r.pool.connections.current for r in fleet.routers)
    connecting = at_routers - sum(c.connections.current for c in fleet.caches.values())
    assert 0 <= connecting <= 4, "only connections being opened may be missing at the servers"
    assert all(len(r.pool.idle) <= r.pool.connections.current for r in fleet.routers)


def test_a_stopped_router_has_no_connections_and_no_unanswered_requests() -> None:
    fleet = Fleet(site_settings(), SMALL, 6)
    fleet.run(3.0)
    stopped = fleet.routers[1]
    requests = list(stopped.requests.values())
    failed = fleet.statistics.counts[CountedEvent.FAILED]
    unanswered = sum(not request.is_answered for request in requests)
    assert unanswered > 0
    fleet.restart_routers([stopped], 0.0, 0.0)
    fleet.run(0.0)
    assert fleet.routers[1] is not stopped
    assert stopped.pool.connections.current == len(stopped.pool.idle) == 0
    assert all(request.is_done for request in requests)
    assert fleet.statistics.counts[CountedEvent.FAILED] - failed == unanswered
    fleet.run(3.0)
    assert fleet.routers[1].pool.connections.peak > 0
    assert stopped.pool.connections.current == 0


def test_an_isolated_region_reaches_its_own_servers() -> None:
    for everywhere in (False, True):
        fleet = Fleet(site_settings(), replace(SMALL, origin_always_reachable=everywhere), 1)
        fleet.network.isolate_region(2)
        inside, outside = fleet.routers[2].location, fleet.routers[0].location
        is_reachable = fleet.network.is_reachable
        reached = [[is_reachable(r, c) for c in fleet.caches.values()] for r in (inside, outside)]
        assert reached == [[False, False, True] * 2, [True, True, False] * 2]
        assert is_reachable(inside, fleet.origin) is everywhere
        assert is_reachable(outside, fleet.origin)


def test_a_seed_gives_the_same_statistics() -> None:
    one, two, other = fleet_after_faults(3), fleet_after_faults(3), fleet_after_faults(4)
    assert one.statistics.counts == two.statistics.counts
    assert one.statistics.latencies == two.statistics.latencies
    assert one.statistics.counts != other.statistics.counts


def test_attempts_at_a_warming_cache_are_compared_with_its_budget() -> None:
    fleet = fleet_after_faults(5)
    arrivals = [100.0] * 30
    use = budget_use(fleet.settings, SMALL, arrivals, 99.0)
    budget = 4.0 * capacity_within(fleet.settings, SMALL, 1.0, 2.0)
    assert use.strict == pytest.approx(30 / budget)
    assert use.with_tolerance < use.strict
    # Slow start ends 8.9 s after the start, so that this window is at full capacity.
    full = capacity_within(fleet.settings, SMALL, 8.9, 2.0)
    assert full == pytest.approx(2.0 / SMALL.mean_service_time)
    warming = capacity_within(fleet.settings, SMALL, 0.0, 8.9)
    assert warming == pytest.approx(0.66 * 8.9 / SMALL.mean_service_time)


def test_connections_of_a_sample_are_scaled_to_the_fleet() -> None:
    count = ConnectionCount(0.0)
    count.add(3, 1.0)
    count.add(-1, 3.0)
    assert count.mean(5.0) == pytest.approx((3 * 2 + 2 * 2) / 5)
    assert count.peak == 3
    variance = (9 * 2 + 4 * 2) / 5 - 2.0**2
    assert count.percentile_99(5.0, 10.0) == pytest.approx(20 + 2.326 * (10 * variance) ** 0.5)
