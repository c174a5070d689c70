"""Servers that fail in a row or refuse connections are ejected."""

from __future__ import annotations

import pytest

from cache_router.decisions import concurrency_limit, events, outlier_detection
from cache_router.decisions.events import AttemptStatus
from tests.support.driver import Driver, entry, settings
from tests.support.router_scenarios import fleet, ignore_key_popularity, servers_clockwise


def fail_attempts(driver: Driver, server: str, times: int, status: AttemptStatus) -> None:
    """Send requests for a key of the server's: attempts there fail, and retries elsewhere are served."""
    for _ in range(times):
        name = f"f{driver.router.idle_connections.request_count}"
        if driver.request(name, key="k") == server:
            driver.complete_attempt(name, status)
        if name in driver.open_requests:
            driver.serve(name)


@pytest.mark.parametrize("status", events.FAILED)
def test_server_is_ejected_after_consecutive_failures(status: AttemptStatus) -> None:
    """Otherwise each request for its keys goes there first and takes a retry, until the budget is used up."""
    driver = Driver(settings())
    driver.update_endpoints(*fleet("a", "b", "c"))
    ignore_key_popularity(driver)
    primary, second, _ = servers_clockwise(driver, "k")
    driver.server(primary).concurrency.limit = 40.0
    fail_attempts(driver, primary, outlier_detection.CONSECUTIVE_FAILURES, status)
    # it may come back as a new process
    assert driver.server(primary).concurrency.limit <= concurrency_limit.INITIAL_LIMIT
    assert driver.request("r1", key="k", finish=True) == second
    driver.now += outlier_detection.MIN_EJECTION_TIME
    assert [driver.request(f"t{n}", key="k") for n in "12"] == [primary, second]  # one attempt on trial
    driver.complete_attempt("t1", status)
    driver.now += outlier_detection.MIN_EJECTION_TIME
    assert driver.request("r2", key="k", finish=True) == second  # ejected for twice as long
    driver.now += outlier_detection.MIN_EJECTION_TIME
    assert driver.request("r3", key="k", finish=True) == primary
    assert [driver.request(f"r{n}", key="k") for n in "45"] == [primary, primary]


def test_occasional_failures_eject_no_server() -> None:
    """Malformed answers come from any server; an ejection sends its keys to servers that lack them."""
    driver = Driver(settings())
    driver.update_endpoints(*fleet("a", "b", "c"))
    ignore_key_popularity(driver)
    primary, *_ = servers_clockwise(driver, "k")
    for n in range(8):
        fail_attempts(driver, primary, outlier_detection.CONSECUTIVE_FAILURES - 1, AttemptStatus.ERROR)
        assert driver.request(f"r{n}", key="k", finish=True) == primary


def test_no_more_than_half_the_fleet_is_ejected() -> None:
    """When all fail the cause lies elsewhere, and the rest would have no capacity for the load."""
    driver = Driver(settings())
    driver.update_endpoints(*fleet("a", "b", "c", "d"))
    for server in driver.router.endpoints.servers.values():
        for _ in range(2 * outlier_detection.CONSECUTIVE_FAILURES):
            driver.router.feedback.detect_outlier(server, AttemptStatus.ERROR, driver.router.now)
    assert sum(s.failures.ejected_until > driver.now for s in driver.router.endpoints.servers.values()) == 2


def test_one_failed_connect_ejects_a_server() -> None:
    """A router of many meets each server seldom: three failures would take it many seconds."""
    driver = Driver(settings())
    driver.update_endpoints(*(entry(s) for s in "abcdef"))
    absent = driver.request("r", key="k")
    assert absent is not None
    assert driver.complete_attempt("r", AttemptStatus.CONNECT_FAILED) not in (None, absent)
    assert driver.server(absent).failures.ejected_until > driver.now


def test_absent_servers_are_ejected_beyond_the_maximum_share() -> None:
    """Otherwise none would be ejected when most servers of an outdated endpoint list are gone."""
    driver = Driver(settings())
    driver.update_endpoints(*(entry(s) for s in "abcd"))
    for server in driver.router.endpoints.servers.values():
        for _ in range(3):
            driver.router.now += 2 * outlier_detection.MIN_EJECTION_TIME
            driver.router.feedback.detect_outlier(server, AttemptStatus.CONNECT_FAILED, driver.router.now)
    now = driver.router.now
    assert driver.server("a").failures.ejection_time > outlier_detection.MIN_EJECTION_TIME
    last = driver.server("d")
    # beyond the maximum share the ejection time does not grow
    assert now < last.failures.ejected_until <= now + outlier_detection.MIN_EJECTION_TIME
