"""Backoff from overloaded servers, by their load reports and timeouts."""

from __future__ import annotations

import pytest

from cache_router.decisions.events import AttemptCompleted, AttemptStatus, LoadReport
from tests.support.driver import Driver, entry, settings


def report_overload(driver: Driver, name: str, service_time: float = 0.5, queue_length: float = 20.0) -> str:
    """A server rejects a request and reports its load; returns the server. The service time is in seconds."""
    server = driver.request(name, key="k")
    assert server is not None
    report = LoadReport(service_time, queue_length)
    driver.handle(AttemptCompleted(name, 0, AttemptStatus.REJECTED, False, 0.01, report))
    return server


def test_overloaded_server_is_left_alone_until_its_queue_is_worked_off() -> None:
    """Requests sent meanwhile would be answered after their deadline."""
    driver = Driver(settings())
    driver.update_endpoints(*(entry(s) for s in "abcdef"))
    first = report_overload(driver, "r0")
    assert all(driver.request(f"r{n}", key="k", finish=True) != first for n in range(1, 6))
    driver.now += 1.25 * driver.settings.slow_start_duration / 2
    assert any(driver.request(f"t{n}", key="k", finish=True) == first for n in range(6))


def test_timeout_counts_as_a_report_of_overload() -> None:
    driver = Driver(settings())
    driver.update_endpoints(*(entry(s) for s in "abcdef"))
    first = driver.request("r", key="k", time_left=2.0)
    driver.now += 1.5
    driver.handle(AttemptCompleted("r", 0, AttemptStatus.TIMEOUT, False, 1.5))
    assert driver.request("s", key="k", finish=True) != first


def test_light_load_causes_no_backoff() -> None:
    driver = Driver(settings())
    driver.update_endpoints(*(entry(s) for s in "abcdef"))
    first = driver.request("r", key="k")
    driver.handle(AttemptCompleted("r", 0, AttemptStatus.OK, True, 0.2, LoadReport(0.1, 3.0)))
    assert driver.request("s", key="k", finish=True) == first


def test_backoff_has_jitter() -> None:
    backoff_ends = set()
    for seed in range(40):
        driver = Driver(settings(), seed=seed)
        driver.update_endpoints(*(entry(s) for s in "abcdef"))
        backoff_ends.add(driver.server(report_overload(driver, "r")).overload.backoff_until)
    assert len(backoff_ends) == 40
    assert max(backoff_ends) - min(backoff_ends) > 1.0


def mean_backoff(router_count: int) -> float:
    """The mean backoff of one router, in seconds, from a server whose queue begins to grow."""
    backoffs = []
    for seed in range(40):
        driver = Driver(settings(router_count=router_count), seed=seed)
        driver.update_endpoints(*(entry(s) for s in "abcdef"))
        for n in range(30):  # the baseline service time, of servers without a queue
            driver.request(f"u{n}", key=f"u{n}")
            driver.handle(AttemptCompleted(f"u{n}", 0, AttemptStatus.OK, True, 0.05, LoadReport(0.05, 0.0)))
        server = report_overload(driver, "r", service_time=0.15, queue_length=16.0)
        backoffs.append(driver.server(server).overload.backoff_until - driver.now)
    return sum(backoffs) / len(backoffs)


def test_all_routers_together_send_an_overloaded_server_less_than_its_capacity() -> None:
    """A backoff of one queueing delay at each of forty routers would still allow twice its capacity."""
    assert 40 / mean_backoff(40) < 1.1 / 0.05
    assert mean_backoff(3) < 0.5 * mean_backoff(40)  # a few routers need no such backoff


@pytest.mark.parametrize("router_count", [40, 1000, 7100])
def test_backoff_is_no_longer_than_a_slow_start(router_count: int) -> None:
    """One service time for each of 7,100 routers would leave a server alone for minutes."""
    driver = Driver(settings(router_count=router_count, slow_start_duration=9.0))
    driver.update_endpoints(*(entry(s) for s in "abcdef"))
    driver.router.overload.baseline_service_time = 0.05
    backoff = driver.server(report_overload(driver, "r")).overload.backoff_until - driver.now
    assert 0 < backoff <= 9.0 * 1.25


def test_backoff_begins_before_the_queueing_delay_reaches_the_latency_objective() -> None:
    driver = Driver(settings(router_count=40))
    driver.update_endpoints(*(entry(s) for s in "abcdef"))
    first = report_overload(driver, "r", service_time=0.15, queue_length=12.0)  # 0.6 of the latency objective
    assert driver.request("s", key="k", finish=True) != first
