"""The bounded walk on the hash ring past silent servers and those at capacity; the spreading of hot keys."""

from __future__ import annotations

import pytest

from cache_router.decisions import server_selection
from cache_router.decisions.events import AttemptStatus
from cache_router.decisions.pending_request import PendingRequest
from cache_router.decisions.server import Server
from cache_router.decisions.server_selection import ServerSelector
from tests.support.driver import Driver, DriverFactory
from tests.support.reference_ring import primary_server
from tests.support.router_inputs import entry
from tests.support.router_rules import Outcome
from tests.support.router_scenarios import (
    fleet,
    ignore_key_popularity,
    primary_servers,
    servers_clockwise,
    single_zone_fleet,
)


def exhaust_capacity(driver: Driver, *names: str) -> None:
    """Set the concurrency limit of servers to 0, so that none has capacity for an attempt."""
    for name in names:
        driver.server(name).concurrency.limit = 0.0


def send_request(driver: Driver, name: str, key: str) -> str:
    """Send a request that must not be rejected; return the server of its first attempt."""
    server = driver.request(name, key=key)
    assert server is not None
    return server


def test_walk_ends_at_the_second_server_without_capacity(make_driver: DriverFactory) -> None:
    """Later servers do not have the key: hits would become misses and overload these servers as well."""
    driver = make_driver(*fleet("a", "b", "c", "d"))
    first, second, third, _ = servers_clockwise(driver, "k")
    exhaust_capacity(driver, first)
    assert driver.request("r1", key="k") == second
    exhaust_capacity(driver, second)
    assert driver.request("r2", key="k") is None
    assert driver.outcome("r2") is Outcome.REJECTED
    assert driver.server(third).concurrency.in_flight == 0


def test_silent_servers_do_not_count_as_servers_without_capacity(make_driver: DriverFactory) -> None:
    """Otherwise the walk would end at two servers behind a network partition, and reject their keys."""
    driver = make_driver(*fleet("a", "b", "c", "d"), hedging_allowed=False)
    first, second, third, _ = servers_clockwise(driver, "k")
    exhaust_capacity(driver, first, second)
    for name in (first, second):
        driver.server(name).concurrency.in_flight = 1
        driver.server(name).concurrency.unanswered_since = driver.now - 1.5
    assert driver.request("r1", key="k") == third


def test_silent_server_gets_one_attempt_at_a_time_until_it_responds(make_driver: DriverFactory) -> None:
    driver = make_driver(*fleet("a", "b"))
    ignore_key_popularity(driver)
    first, second = servers_clockwise(driver, "k")
    assert [driver.request(f"r{n}", key="k") for n in "12"] == [first, first]
    driver.now += 1.1
    assert driver.request("r3", key="k", finish=True) == second
    driver.complete_attempt("r1", AttemptStatus.TIMEOUT, latency=1.1)
    driver.complete_attempt("r2", AttemptStatus.TIMEOUT, latency=1.1)
    driver.now += 1.4  # the backoff after a timeout is over
    assert driver.request("r4", key="k") == first
    assert driver.request("r5", key="k", finish=True) == second
    driver.complete_attempt("r4", AttemptStatus.ERROR)
    assert driver.request("r6", key="k") == first


def test_reported_load_sends_a_share_of_a_key_to_the_next_server(make_driver: DriverFactory) -> None:
    """A key may overload its server although each router rarely requests it; live weights show the load."""
    driver = make_driver(live_weights=True)
    names = "abcdefgh"
    driver.update_endpoints(*(entry(n, weight=2.0) for n in names))
    first = driver.request("r", key="k", finish=True)
    driver.update_endpoints(*(entry(n, weight=0.5 if n == first else 1.0) for n in names))
    ignore_key_popularity(driver)
    sent = [driver.request(f"r{n}", key="k", finish=True) for n in range(200)]
    assert 70 < sent.count(first) < 140  # a load of 3 with a cap of 1.56: about half stay


def test_hot_key_spreads_to_the_next_servers_clockwise(make_driver: DriverFactory) -> None:
    """Requests for one key that get no response go to several servers instead of one."""
    driver = make_driver(*single_zone_fleet("abcd"))
    sent = [send_request(driver, f"r{n}", "hot") for n in range(8)]
    assert len(set(sent)) > 1
    assert sent[0] == primary_server("hot", dict.fromkeys("abcd", 128))


def test_two_requests_in_flight_do_not_split_a_key(make_driver: DriverFactory) -> None:
    """Small counts would exceed a fixed cap at random, and two servers would then cache the key."""
    driver = make_driver(*(entry(f"s{n}") for n in range(90)))
    assert len({send_request(driver, f"r{n}", "k") for n in range(2)}) == 1


@pytest.mark.parametrize("is_warming_up", [False, True])
def test_hot_key_spreads_over_as_few_servers_as_have_the_capacity(
    make_driver: DriverFactory, is_warming_up: bool
) -> None:
    """One key has a fifth of all requests, and the router never has two requests in flight at a server."""
    driver = make_driver(*(entry(f"s{i}", weight=2.0 if i % 2 else 1.0) for i in range(30)))
    first = driver.request("first", key="hot", finish=True)
    started_at = driver.now if is_warming_up else 0.0
    driver.update_endpoints(
        *(entry(f"s{i}", started_at=started_at if f"s{i}" == first else 0.0) for i in range(30))
    )
    servers = [driver.request(f"r{n}", key=f"k{n}" if n % 5 else "hot", finish=True) for n in range(2000)]
    hot_key_servers = servers[200::5]
    assert 5 <= len(set(hot_key_servers)) <= 8  # a fifth of 30 servers, at 1.25 fair shares each, is 4.8
    assert hot_key_servers.count(first) < (0.1 if is_warming_up else 0.3) * len(hot_key_servers)
    later = primary_servers(driver, "x")
    assert sum(server == again for server, again in zip(servers, later, strict=True) if server) > 1000


def test_walk_visits_a_bounded_number_of_points(
    make_driver: DriverFactory, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without a bound, the walk would visit the complete ring when no server is eligible."""
    driver = make_driver(*(entry(f"s{i}") for i in range(90)))
    for server in driver.router.endpoints.servers.values():
        server.concurrency.in_flight = 1
        server.concurrency.unanswered_since = driver.now - 5.0
    visited: list[object] = []
    is_eligible = ServerSelector.is_eligible

    def record_visit(selector: ServerSelector, pending: PendingRequest, server: Server, now: float) -> bool:
        visited.append(server)
        return is_eligible(selector, pending, server, now)

    monkeypatch.setattr(ServerSelector, "is_eligible", record_visit)
    assert driver.request("r", key="k") is None
    assert driver.outcome("r") is Outcome.REJECTED
    assert 0 < len(visited) <= server_selection.MAX_POINTS_VISITED


def test_origin_gets_writes_and_misses_only(make_driver: DriverFactory) -> None:
    driver = make_driver(entry("a"), entry("o", kind="origin"), cache_aside=True, origin_kind="origin")
    assert driver.request("w", key="k", is_write=True) == "o"
    driver.serve("w")
    assert driver.request("r", key="k") == "a"
    assert driver.complete_attempt("r", AttemptStatus.MISS) == "o"


def test_writes_go_to_the_primary_server_without_cache_aside(make_driver: DriverFactory) -> None:
    driver = make_driver(entry("a"), entry("b"))
    assert driver.request("w", key="k", is_write=True) == primary_server("k", {"a": 128, "b": 128})
