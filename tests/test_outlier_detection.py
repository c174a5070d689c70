"""Servers that fail in a row or refuse connections are ejected."""

from __future__ import annotations

import pytest

from cache_router.decisions import concurrency_limit, events, outlier_detection
from cache_router.decisions.events import AttemptStatus
from tests.driver import Driver, entry, settings
from tests.router_scenarios import fleet, ignore_key_popularity, servers_clockwise


def fail_attempts(driver: Driver, server: str, times: int, status: AttemptStatus) -> None:
    """Send requests for a key of the server's: attempts there fail, and retries elsewhere are served."""
    for _ in range(times):
        name = f"f{driver.router.idle_connections.request_count}"
        if driver.request(name, key="k") == server:
            driver.complete_attempt(name, status)
        if name in driver.open_requests:
            driver.serve(name)


@pytest.mark.parametrize("status", events.FAILED)
def test_a_server_that_fails_in_a_row_is_left_out_for_a_while(status: AttemptStatus) -> None:
    """Each of its keys' requests went there first and spent a retry, until none were left for anybody."""
    driver = Driver(settings())
    driver.update_endpoints(*fleet("a", "b", "c"))
    ignore_key_popularity(driver)
    first, second, _ = servers_clockwise(driver, "k")
    driver.server(first).concurrency.limit = 40.0
    fail_attempts(driver, first, outlier_detection.CONSECUTIVE_FAILURES, status)
    # it may come back as a new process
    assert driver.server(first).concurrency.limit <= concurrency_limit.INITIAL_LIMIT
    assert driver.request("r1", key="k", finish=True) == second
    driver.now += outlier_detection.MIN_EJECTION_TIME
    assert [driver.request(f"t{n}", key="k") for n in "12"] == [first, second]  # one to try it by
    driver.complete_attempt("t1", status)
    driver.now += outlier_detection.MIN_EJECTION_TIME
    assert driver.request("r2", key="k", finish=True) == second  # twice as long
    driver.now += outlier_detection.MIN_EJECTION_TIME
    assert driver.request("r3", key="k", finish=True) == first
    assert [driver.request(f"r{n}", key="k") for n in "45"] == [first, first]


def test_failures_now_and_then_take_no_server_out() -> None:
    """Spoilt answers come from any server alike: each taken out sends its keys where they are not held."""
    driver = Driver(settings())
    driver.update_endpoints(*fleet("a", "b", "c"))
    ignore_key_popularity(driver)
    first, *_ = servers_clockwise(driver, "k")
    for n in range(8):
        fail_attempts(driver, first, outlier_detection.CONSECUTIVE_FAILURES - 1, AttemptStatus.ERROR)
        assert driver.request(f"r{n}", key="k", finish=True) == first


def test_no_more_than_half_the_fleet_is_left_out() -> None:
    """When all fail it is hardly the servers, and those left could not bear the load of the others."""
    driver = Driver(settings())
    driver.update_endpoints(*fleet("a", "b", "c", "d"))
    for server in driver.router.endpoints.servers.values():
        for _ in range(2 * outlier_detection.CONSECUTIVE_FAILURES):
            driver.router.feedback.detect_outlier(server, AttemptStatus.ERROR, driver.router.now)
    assert sum(s.failures.ejected_until > driver.now for s in driver.router.endpoints.servers.values()) == 2


def test_one_refused_connection_takes_a_server_out() -> None:
    """Each router met each server that had gone three times, seconds apart, before it went round it."""
    driver = Driver(settings())
    driver.update_endpoints(*(entry(s) for s in "abcdef"))
    gone = driver.request("r", key="k")
    assert gone is not None
    assert driver.complete_attempt("r", AttemptStatus.CONNECT_FAILED) not in (None, gone)
    assert driver.server(gone).failures.ejected_until > driver.now


def test_absent_servers_are_left_out_however_many_they_are() -> None:
    """With most of an old list gone the counts began anew all the time, and nobody was ever left out."""
    driver = Driver(settings())
    driver.update_endpoints(*(entry(s) for s in "abcd"))
    for server in driver.router.endpoints.servers.values():
        for _ in range(3):
            driver.router.now += 2 * outlier_detection.MIN_EJECTION_TIME
            driver.router.feedback.detect_outlier(server, AttemptStatus.CONNECT_FAILED, driver.router.now)
    now = driver.router.now
    assert driver.server("a").failures.ejection_time > outlier_detection.MIN_EJECTION_TIME
    last = driver.server("d")
    # beyond half of them never for longer
    assert now < last.failures.ejected_until <= now + outlier_detection.MIN_EJECTION_TIME
