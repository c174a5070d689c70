"""Slow start: attempts that one router, or thirty on a simulated clock, send to warming servers."""

from __future__ import annotations

from itertools import count
from typing import Any

import pytest

from cache_router.decisions import hedging
from cache_router.decisions.events import AttemptStatus
from cache_router.decisions.server import Server
from tests.support.driver import Driver, DriverFactory
from tests.support.fleet_simulation import (
    ROUTER_COUNT,
    WARMING_STARTED_AT,
    FailingFleetSimulation,
    FleetSimulation,
    NoWarmServerSimulation,
)
from tests.support.router_inputs import entry
from tests.support.router_scenarios import primary_servers

ALL_ROUTERS = range(ROUTER_COUNT)


@pytest.mark.parametrize(
    ("make", "options", "restarts"),
    [
        pytest.param(FleetSimulation, {}, {0.0: ALL_ROUTERS}, id="any key"),
        pytest.param(FleetSimulation, {"hot_share": 0.3}, {0.0: ALL_ROUTERS}, id="hot key"),
        # Review case 10: the last warm servers drained, and no quota applied.
        pytest.param(NoWarmServerSimulation, {}, {0.0: ALL_ROUTERS}, id="no warm server is left"),
        pytest.param(
            FailingFleetSimulation,
            {"hot_share": 0.3},
            {0.0: ALL_ROUTERS},
            id="hot key, resets and lost responses",
        ),
        pytest.param(
            FleetSimulation,
            {"hot_share": 0.3},
            {WARMING_STARTED_AT: ALL_ROUTERS},
            id="hot key, all just started",
        ),
        pytest.param(
            FleetSimulation,
            {"hot_share": 0.3, "queued": 3},
            {WARMING_STARTED_AT: ALL_ROUTERS},
            id="hot key, all just started with queued requests",
        ),
        pytest.param(
            FleetSimulation,
            {"hot_share": 0.3},
            {
                0.0: ALL_ROUTERS,
                WARMING_STARTED_AT + 1: ALL_ROUTERS[:15],
                WARMING_STARTED_AT + 3: ALL_ROUTERS[10:],
            },
            id="hot key, restarts",
        ),
    ],
)
@pytest.mark.parametrize("capacity", [20.0, 100.0])
@pytest.mark.parametrize("seed", range(3))
def test_all_routers_together_stay_within_the_capacity_of_a_warming_server(
    make: type[FleetSimulation],
    options: dict[str, Any],
    restarts: dict[float, range],
    capacity: float,
    seed: int,
) -> None:
    """Fewer points on the ring limit the load of many keys; only the quota limits that of one hot key."""
    simulation = make(seed, capacity, **options)
    assert simulation.run(restarts) <= 0
    # The server could serve about five times as many requests in that time.
    assert len(simulation.sent_to_warming) > capacity


def test_warming_servers_get_all_requests_where_no_other_is_listed(make_driver: DriverFactory) -> None:
    """Without a warm server the quota would be zero, and every request would be rejected."""
    driver = make_driver(router_count=ROUTER_COUNT)
    driver.update_endpoints(entry("a", started_at=driver.now), entry("b", started_at=driver.now))
    assert None not in [driver.request(f"r{n}", key=f"k{n}", finish=True) for n in range(20)]


@pytest.mark.parametrize(("router_count", "hedge_server"), [(1, "b"), (ROUTER_COUNT, "a")])
def test_hedged_request_at_a_warming_server_counts_against_its_quota(
    make_driver: DriverFactory, router_count: int, hedge_server: str
) -> None:
    """In a large fleet the quota is used up, so that the hedged request goes to another server."""
    driver = make_driver(router_count=router_count)
    driver.update_endpoints(entry("a"), entry("b", started_at=driver.now))
    warming = driver.server("b")
    warming.concurrency.latency = 0.01
    warming.grant_slow_start_quota(0.01)
    name = next(n for n in map(str, count()) if driver.request(n) == "b")
    warming.concurrency.unanswered_since = driver.now + 0.001  # it has responded to other attempts since
    driver.advance(hedging.HEDGE_DELAY_FACTOR * 0.01)
    assert driver.servers_tried(name) == ["b", hedge_server]


def test_warming_server_gets_no_more_than_its_share_of_a_surge(make_driver: DriverFactory) -> None:
    """The surge is 1000 requests in the second after the server's start."""
    driver = make_driver(
        entry("a"),
        entry("b"),
        entry("c"),
        slow_start_duration=10.0,
        slow_start_initial_share=0.3,
        overload_multiple=2.0,
        overload_window=1.0,
    )
    for n in range(4000):
        if n == 3000:
            driver.update_endpoints(entry("a"), entry("b"), entry("c"), entry("d", started_at=driver.now))
        driver.now += 0.01 if n < 3000 else 0.001
        driver.request(f"r{n}", key=f"k{n}", finish=True)
    sent_to_warming = sum(request.servers_tried == ["d"] for request in driver.requests.values())
    assert 5 < sent_to_warming < 1000 / 4 * 0.45


def test_server_has_all_its_points_after_the_slow_start(make_driver: DriverFactory) -> None:
    driver = make_driver(slow_start_duration=10.0, slow_start_initial_share=0.3)
    driver.update_endpoints(entry("a"), entry("b", started_at=driver.now))
    driver.now += 10.0
    sent = [driver.request(f"r{n}", key=f"k{n}", finish=True) for n in range(400)]
    assert sent.count("b") > 120


def test_share_of_keys_grows_during_the_slow_start(make_driver: DriverFactory) -> None:
    """With hundreds of routers, a quota of at least one request at each would overload the server."""
    shares = []
    for age in (0.0, 5.0, 10.0):
        driver = make_driver(slow_start_duration=10.0, slow_start_initial_share=0.3)
        driver.update_endpoints(*(entry(f"s{i}") for i in range(9)), entry("warming", started_at=driver.now))
        driver.now += age
        shares.append(primary_servers(driver, "r").count("warming") / 2000 * 10)
    assert shares == sorted(shares)
    assert shares == pytest.approx([0.3, 0.65, 1.0], abs=0.2)


def test_warming_server_takes_no_overflow_of_other_servers(driver: Driver) -> None:
    """In a burst, requests beyond the capacity of its neighbours would overload the warming server."""
    driver.update_endpoints(*(entry(n) for n in "abc"), entry("d", started_at=driver.now))
    for n in range(300):
        for name in "abc":
            driver.server(name).concurrency.limit = 0.0
        driver.request(f"r{n}", key=f"k{n}")
    assert sum("d" in request.servers_tried for request in driver.requests.values()) < 300 / 4 * 0.5


def usable_share(driver: Driver, server: Server) -> float:
    """Return the share of a server's points on the ring that are in use now."""
    router = driver.router
    return router.slow_start.usable_share(server.endpoint, router.health.success_rate, driver.now)


def test_warming_server_gets_less_while_attempts_fail(make_driver: DriverFactory) -> None:
    """When attempts fail, clients retry, and the additional requests would overload the warming server."""
    driver = make_driver(slow_start_initial_share=0.3, max_attempts=1)
    driver.update_endpoints(*(entry(n) for n in "abc"), entry("d", started_at=driver.now))
    assert primary_servers(driver, "a").count("d") > 80
    warming = driver.server("d")
    assert usable_share(driver, warming) == pytest.approx(0.3)
    for n in range(20):
        if driver.request(f"f{n}", key=f"k{n}") is not None:
            driver.complete_attempt(f"f{n}", AttemptStatus.TIMEOUT)
    assert usable_share(driver, warming) < 0.3 / 4
