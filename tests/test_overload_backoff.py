"""Backoff from overloaded servers, by their load reports and timeouts."""

from __future__ import annotations

import pytest

from cache_router.decisions.events import AttemptCompleted, AttemptStatus, LoadReport
from tests.driver import Driver, entry, settings


def report_overload(driver: Driver, name: str, service_time: float = 0.5, queue_length: float = 20.0) -> str:
    """A server rejects a request and reports its load; returns the server. The service time is in seconds."""
    server = driver.request(name, key="k")
    assert server is not None
    report = LoadReport(service_time, queue_length)
    driver.handle(AttemptCompleted(name, 0, AttemptStatus.REJECTED, False, 0.01, report))
    return server


def test_a_server_that_reports_a_jam_rests_until_it_is_served() -> None:
    """All routers sent on to servers whose queues were longer than any deadline; all came too late."""
    driver = Driver(settings())
    driver.update_endpoints(*(entry(s) for s in "abcdef"))
    first = report_overload(driver, "r0")
    assert all(driver.request(f"r{n}", key="k", finish=True) != first for n in range(1, 6))
    driver.now += 1.25 * driver.settings.slow_start_duration / 2
    assert any(driver.request(f"t{n}", key="k", finish=True) == first for n in range(6))


def test_a_time_out_is_a_report_of_its_own() -> None:
    driver = Driver(settings())
    driver.update_endpoints(*(entry(s) for s in "abcdef"))
    first = driver.request("r", key="k", time_left=2.0)
    driver.now += 1.5
    driver.handle(AttemptCompleted("r", 0, AttemptStatus.TIMEOUT, False, 1.5))
    assert driver.request("s", key="k", finish=True) != first


def test_a_light_load_lets_no_server_rest() -> None:
    driver = Driver(settings())
    driver.update_endpoints(*(entry(s) for s in "abcdef"))
    first = driver.request("r", key="k")
    driver.handle(AttemptCompleted("r", 0, AttemptStatus.OK, True, 0.2, LoadReport(0.1, 3.0)))
    assert driver.request("s", key="k", finish=True) == first


def test_routers_do_not_come_back_in_step() -> None:
    ends = set()
    for seed in range(40):
        driver = Driver(settings(), seed=seed)
        driver.update_endpoints(*(entry(s) for s in "abcdef"))
        ends.add(driver.server(report_overload(driver, "r")).overload.backoff_until)
    assert len(ends) == 40
    assert max(ends) - min(ends) > 1.0


def seconds_between_sends(siblings: int) -> float:
    """The mean time that one router leaves a server alone that is on its way into a jam."""
    backoffs = []
    for seed in range(40):
        driver = Driver(settings(router_count=siblings), seed=seed)
        driver.update_endpoints(*(entry(s) for s in "abcdef"))
        for n in range(30):  # what a request takes where nothing waits
            driver.request(f"u{n}", key=f"u{n}")
            driver.handle(AttemptCompleted(f"u{n}", 0, AttemptStatus.OK, True, 0.05, LoadReport(0.05, 0.0)))
        server = report_overload(driver, "r", service_time=0.15, queue_length=16.0)
        backoffs.append(driver.server(server).overload.backoff_until - driver.now)
    return sum(backoffs) / len(backoffs)


def test_all_routers_together_send_a_crowded_server_less_than_it_bears() -> None:
    """Each rested it for the one wait that it was told; forty of them still sent twice what it bears."""
    assert 40 / seconds_between_sends(40) < 1.1 / 0.05
    assert seconds_between_sends(3) < 0.5 * seconds_between_sends(40)  # a few routers need no such rest


@pytest.mark.parametrize("siblings", [40, 1000, 7100])
def test_no_fleet_rests_a_server_for_longer_than_it_takes_to_bear_its_all(siblings: int) -> None:
    """A rest of one service time for each router: after a surge of 3 s those of 7,100 rested for minutes."""
    driver = Driver(settings(router_count=siblings, slow_start_duration=9.0))
    driver.update_endpoints(*(entry(s) for s in "abcdef"))
    driver.router.overload.baseline_service_time = 0.05
    rest = driver.server(report_overload(driver, "r")).overload.backoff_until - driver.now
    assert 0 < rest <= 9.0 * 1.25


def test_a_server_on_its_way_into_a_jam_rests_before_it_is_in_one() -> None:
    driver = Driver(settings(router_count=40))
    driver.update_endpoints(*(entry(s) for s in "abcdef"))
    first = report_overload(driver, "r", service_time=0.15, queue_length=12.0)  # 0.6 of the aim
    assert driver.request("s", key="k", finish=True) != first
