"""Ejection of servers after consecutive failures or a failed connect."""

from __future__ import annotations

import math
import random

import pytest

from cache_router.decisions import concurrency_limit, events, outlier_detection
from cache_router.decisions.events import AttemptStatus
from cache_router.decisions.outlier_detection import CONSECUTIVE_FAILURES, FailureHistory, OutlierDetector
from tests.support.driver import Driver, DriverFactory
from tests.support.router_scenarios import fleet, ignore_key_popularity, servers_clockwise, single_zone_fleet


def fail_attempts(driver: Driver, server: str, times: int, status: AttemptStatus) -> None:
    """Send requests for a key of the server; attempts at it fail, retries at other servers succeed."""
    for _ in range(times):
        name = f"f{driver.router.idle_connections.request_count}"
        if driver.request(name, key="k") == server:
            driver.complete_attempt(name, status)
        if name in driver.open_requests:
            driver.serve(name)


@pytest.mark.parametrize("status", events.FAILED)
def test_server_is_ejected_after_consecutive_failures(
    make_driver: DriverFactory, status: AttemptStatus
) -> None:
    """Otherwise each request for its keys would need a retry, until the retry budget is used up."""
    driver = make_driver(*fleet("a", "b", "c"))
    ignore_key_popularity(driver)
    primary, second, _ = servers_clockwise(driver, "k")
    driver.server(primary).concurrency.limit = 40.0
    fail_attempts(driver, primary, outlier_detection.CONSECUTIVE_FAILURES, status)
    # the server may return as a new process, whose capacity is not known
    assert driver.server(primary).concurrency.limit <= concurrency_limit.INITIAL_LIMIT
    assert driver.request("r1", key="k", finish=True) == second
    driver.now += outlier_detection.MIN_EJECTION_TIME
    assert [driver.request(f"t{n}", key="k") for n in "12"] == [primary, second]  # one probe attempt
    driver.complete_attempt("t1", status)
    driver.now += outlier_detection.MIN_EJECTION_TIME
    assert driver.request("r2", key="k", finish=True) == second  # ejected for twice as long
    driver.now += outlier_detection.MIN_EJECTION_TIME
    assert driver.request("r3", key="k", finish=True) == primary
    assert [driver.request(f"r{n}", key="k") for n in "45"] == [primary, primary]


def test_occasional_failures_eject_no_server(make_driver: DriverFactory) -> None:
    """Any server may return malformed responses, and an ejection moves its keys to servers without them."""
    driver = make_driver(*fleet("a", "b", "c"))
    ignore_key_popularity(driver)
    primary, *_ = servers_clockwise(driver, "k")
    for n in range(8):
        fail_attempts(driver, primary, outlier_detection.CONSECUTIVE_FAILURES - 1, AttemptStatus.ERROR)
        assert driver.request(f"r{n}", key="k", finish=True) == primary


def test_no_more_than_half_the_fleet_is_ejected(make_driver: DriverFactory) -> None:
    """When all servers fail the cause is elsewhere, and the few remaining ones would be overloaded."""
    driver = make_driver(*fleet("a", "b", "c", "d"))
    for server in driver.router.endpoints.servers.values():
        for _ in range(2 * outlier_detection.CONSECUTIVE_FAILURES):
            driver.router.feedback.detect_outlier(server, AttemptStatus.ERROR, driver.router.now)
    servers = driver.router.endpoints.servers
    ejected = [name for name, server in servers.items() if server.failures.ejected_until > driver.now]
    assert len(ejected) == 2


def test_one_failed_connect_ejects_a_server(make_driver: DriverFactory) -> None:
    """In a large fleet each router rarely connects to a server: three failures would take many seconds."""
    driver = make_driver(*single_zone_fleet("abcdef"))
    unreachable = driver.request("r", key="k")
    assert unreachable is not None
    assert driver.complete_attempt("r", AttemptStatus.CONNECT_FAILED) not in (None, unreachable)
    assert driver.server(unreachable).failures.ejected_until > driver.now


def test_failed_connects_eject_servers_beyond_the_maximum_share(make_driver: DriverFactory) -> None:
    """Otherwise none would be ejected when most servers of an outdated endpoint list no longer exist."""
    driver = make_driver(*single_zone_fleet("abcd"))
    for server in driver.router.endpoints.servers.values():
        for _ in range(3):
            driver.router.now += 2 * outlier_detection.MIN_EJECTION_TIME
            driver.router.feedback.detect_outlier(server, AttemptStatus.CONNECT_FAILED, driver.router.now)
    now = driver.router.now
    assert driver.server("a").failures.ejection_time > outlier_detection.MIN_EJECTION_TIME
    last = driver.server("d")
    # The ejection time does not grow beyond the maximum share.
    assert now < last.failures.ejected_until <= now + outlier_detection.MIN_EJECTION_TIME


def test_history_is_an_outlier_from_the_last_of_the_consecutive_failures_on() -> None:
    history = FailureHistory()
    for _ in range(CONSECUTIVE_FAILURES - 1):
        history.record_failure()
        assert not history.is_outlier
    history.record_failure()
    assert history.is_outlier


def test_one_failed_connect_makes_an_outlier() -> None:
    history = FailureHistory()
    history.record_failed_connect()
    assert history.is_outlier


def test_history_admits_one_attempt_at_a_time_after_an_ejection() -> None:
    history = FailureHistory()
    history.record_failed_connect()
    history.eject(ejection_time=2.0, jitter=0.75, now=10.0)
    assert (history.ejection_time, history.ejected_until) == (2.0, 11.5)
    assert not history.admits(in_flight=0, now=11.4)
    assert history.admits(in_flight=0, now=11.5)
    assert not history.admits(in_flight=1, now=11.5)


def test_reset_history_keeps_an_ejection_in_effect() -> None:
    """A response to an attempt sent before the ejection does not show that the server has recovered."""
    history = FailureHistory()
    history.record_failed_connect()
    history.eject(ejection_time=2.0, jitter=1.0, now=10.0)
    history.reset()
    assert (history.consecutive_failures, history.ejection_time) == (0, 0.0)
    assert not history.admits(in_flight=0, now=11.9)
    assert history.admits(in_flight=5, now=12.0)


def eject_repeatedly(detector: OutlierDetector, history: FailureHistory, times: int) -> list[float]:
    """Fail the connect of each probe attempt; return the ejection times in seconds."""
    ejection_times = []
    for _ in range(times):
        now = max(0.0, history.ejected_until)
        assert detector.record(history, AttemptStatus.CONNECT_FAILED, is_listed=True, now=now)
        ejection_times.append(history.ejection_time)
    return ejection_times


def test_ejection_time_doubles_up_to_its_maximum() -> None:
    histories = [FailureHistory() for _ in range(4)]
    detector = OutlierDetector(3.0, random.Random(1))
    detector.on_endpoint_update(histories)
    assert eject_repeatedly(detector, histories[0], 5) == [0.5, 1.0, 2.0, 3.0, 3.0]


def test_maximum_ejection_time_applies_beyond_the_maximum_share() -> None:
    """With a very short slow start, the maximum ejection time is below the minimum one."""
    history = FailureHistory()
    detector = OutlierDetector(0.2, random.Random(1))
    detector.on_endpoint_update([history])
    assert eject_repeatedly(detector, history, 2) == [0.2, 0.2]


def test_failure_of_an_ejected_server_does_not_extend_its_ejection() -> None:
    """Several attempts may be in flight when a server fails; their failures have the same cause."""
    histories = [FailureHistory() for _ in range(4)]
    detector = OutlierDetector(3.0, random.Random(1))
    detector.on_endpoint_update(histories)
    assert detector.record(histories[0], AttemptStatus.CONNECT_FAILED, is_listed=True, now=10.0)
    end = histories[0].ejected_until
    assert not detector.record(histories[0], AttemptStatus.CONNECT_FAILED, is_listed=True, now=10.1)
    assert histories[0].ejected_until == end


def test_unlisted_server_does_not_count_towards_the_maximum_share() -> None:
    histories = [FailureHistory() for _ in range(2)]
    detector = OutlierDetector(3.0, random.Random(1))
    detector.on_endpoint_update(histories)
    unlisted = FailureHistory()
    detector.record(unlisted, AttemptStatus.CONNECT_FAILED, is_listed=False, now=0.0)
    assert unlisted.is_outlier
    for _ in range(CONSECUTIVE_FAILURES):
        detector.record(histories[0], AttemptStatus.ERROR, is_listed=True, now=0.0)
    assert histories[0].ejected_until > -math.inf
