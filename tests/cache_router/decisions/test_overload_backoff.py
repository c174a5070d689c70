"""Backoff from overloaded servers, by their load reports and timeouts."""

from __future__ import annotations

import math
import random

import pytest

from cache_router.decisions.events import AttemptCompleted, AttemptStatus, LoadReport
from cache_router.decisions.overload_backoff import BACKOFF_JITTER, OverloadBackoff, OverloadState
from tests.support.driver import Driver, DriverFactory
from tests.support.router_inputs import entry, settings
from tests.support.router_scenarios import single_zone_fleet


def report_overload(driver: Driver, name: str, service_time: float = 0.5, queue_length: float = 20.0) -> str:
    """Let a server reject a request with a load report; return the server. The service time is in seconds."""
    server = driver.request(name, key="k")
    assert server is not None
    report = LoadReport(service_time, queue_length)
    driver.handle(AttemptCompleted(name, 0, AttemptStatus.REJECTED, False, 0.01, report))
    return server


def test_overloaded_server_gets_no_requests_until_its_queue_has_drained(make_driver: DriverFactory) -> None:
    """The responses to requests sent earlier would arrive after their deadline."""
    driver = make_driver(*single_zone_fleet("abcdef"))
    first = report_overload(driver, "r0")
    during_backoff = [driver.request(f"r{n}", key="k", finish=True) for n in range(1, 6)]
    assert first not in during_backoff
    driver.now += 1.25 * driver.settings.slow_start_duration / 2
    after_backoff = [driver.request(f"t{n}", key="k", finish=True) for n in range(6)]
    assert first in after_backoff


def test_timeout_counts_as_a_report_of_overload(make_driver: DriverFactory) -> None:
    driver = make_driver(*single_zone_fleet("abcdef"))
    first = driver.request("r", key="k", time_left=2.0)
    driver.now += 1.5
    driver.handle(AttemptCompleted("r", 0, AttemptStatus.TIMEOUT, False, 1.5))
    assert driver.request("s", key="k", finish=True) != first


def test_light_load_causes_no_backoff(make_driver: DriverFactory) -> None:
    driver = make_driver(*single_zone_fleet("abcdef"))
    first = driver.request("r", key="k")
    driver.handle(AttemptCompleted("r", 0, AttemptStatus.OK, True, 0.2, LoadReport(0.1, 3.0)))
    assert driver.request("s", key="k", finish=True) == first


def test_backoff_has_jitter(make_driver: DriverFactory) -> None:
    backoff_ends = set()
    for seed in range(40):
        driver = make_driver(*single_zone_fleet("abcdef"), seed=seed)
        backoff_ends.add(driver.server(report_overload(driver, "r")).overload.backoff_until)
    assert len(backoff_ends) == 40
    assert max(backoff_ends) - min(backoff_ends) > 1.0


def mean_backoff(router_count: int) -> float:
    """Return the mean backoff of one router, in seconds, from a server with a growing queue."""
    backoffs = []
    for seed in range(40):
        driver = Driver(settings(router_count=router_count), seed=seed)
        driver.update_endpoints(*(entry(s) for s in "abcdef"))
        for n in range(30):  # reports without a queue set the baseline service time
            driver.request(f"u{n}", key=f"u{n}")
            driver.handle(AttemptCompleted(f"u{n}", 0, AttemptStatus.OK, True, 0.05, LoadReport(0.05, 0.0)))
        server = report_overload(driver, "r", service_time=0.15, queue_length=16.0)
        backoffs.append(driver.server(server).overload.backoff_until - driver.now)
    return sum(backoffs) / len(backoffs)


def test_all_routers_together_send_an_overloaded_server_less_than_its_capacity() -> None:
    """With a backoff of one queueing delay, 40 routers would still send twice the server's capacity."""
    assert 40 / mean_backoff(40) < 1.1 / 0.05
    assert mean_backoff(3) < 0.5 * mean_backoff(40)  # a few routers need no such backoff


@pytest.mark.parametrize("router_count", [40, 1000, 7100])
def test_backoff_is_no_longer_than_a_slow_start(make_driver: DriverFactory, router_count: int) -> None:
    """A backoff of one service time for each of 7,100 routers would last for minutes."""
    driver = make_driver(*single_zone_fleet("abcdef"), router_count=router_count, slow_start_duration=9.0)
    driver.router.overload.baseline_service_time = 0.05
    backoff = driver.server(report_overload(driver, "r")).overload.backoff_until - driver.now
    assert 0 < backoff <= 9.0 * 1.25


def test_backoff_begins_before_the_queueing_delay_reaches_the_latency_objective(
    make_driver: DriverFactory,
) -> None:
    driver = make_driver(*single_zone_fleet("abcdef"), router_count=40)
    # a delay of 0.6 of the latency objective
    first = report_overload(driver, "r", service_time=0.15, queue_length=12.0)
    assert driver.request("s", key="k", finish=True) != first


def reported(service_time: float, queue_length: float) -> AttemptCompleted:
    """Return a completed attempt with a load report."""
    return AttemptCompleted("r", 0, AttemptStatus.OK, True, 0.01, LoadReport(service_time, queue_length))


@pytest.mark.parametrize(
    ("router_count", "baseline", "delay", "expected"),
    [
        (10, 0.05, 1.5, 1.5),  # the time in which the queue drains
        (10, 0.05, 30.0, 5.0),  # the maximum for a long queue: half a slow start
        (40, 0.05, 1.5, 2.0),  # one service time for each router
        (1000, 0.05, 1.5, 10.0),  # the maximum for a large fleet: one slow start
    ],
)
def test_backoff_is_the_longer_of_drain_time_and_service_times_of_the_fleet(
    router_count: int, baseline: float, delay: float, expected: float
) -> None:
    conf = settings(router_count=router_count, slow_start_duration=10.0)
    backoff = OverloadBackoff(conf, 1.0, random.Random(1), baseline_service_time=baseline)
    state = OverloadState()
    backoff.record(state, True, AttemptCompleted("r", 0, AttemptStatus.TIMEOUT, False, delay), now=100.0)
    jitter = random.Random(1).uniform(*BACKOFF_JITTER)
    assert state.backoff_until == 100.0 + expected * jitter


def test_baseline_service_time_is_that_of_servers_without_a_queue() -> None:
    """The longer service times of an overloaded server would lengthen the backoff from every server."""
    backoff = OverloadBackoff(settings(), 1.0, random.Random(1))
    state = OverloadState()
    backoff.record(state, True, reported(0.1, 0.9), now=0.0)
    baseline = backoff.baseline_service_time
    assert baseline == pytest.approx(0.02)
    backoff.record(state, True, reported(0.4, 1.0), now=0.0)
    assert backoff.baseline_service_time == baseline


def test_origin_gets_no_backoff() -> None:
    """Requests for the origin wait in the router's own queue instead."""
    backoff = OverloadBackoff(settings(), 1.0, random.Random(1))
    state = OverloadState()
    backoff.record(state, False, reported(0.5, 20.0), now=0.0)
    assert state.backoff_until == -math.inf
