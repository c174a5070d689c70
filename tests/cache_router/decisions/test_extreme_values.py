"""Extreme values raise no exception in the decisions, and move no mean without bound.

Guards against three faults. One weight of 1e308 raised OverflowError in `EndpointList` (`2.0 **
math.ceil(math.log2(...))`) at each of 51 polls in 8 s, so that changes of the two other servers were never
applied. One load report with `svc_ms=1e300` kept every server's backoff at 11.3 s instead of 0.26 s for
3,066 responses. One attempt that hung for ten minutes had the same effect on the queueing latency.
"""

from __future__ import annotations

import itertools

import pytest

from cache_router.decisions.events import AttemptCompleted, AttemptStatus, LoadReport
from cache_router.endpoint import MAX_WEIGHT, MIN_WEIGHT, bounded_weight
from cache_router.settings import RequestClass
from cache_router.settings_reader import read_settings
from tests.support.driver import Driver, DriverFactory
from tests.support.router_inputs import entry
from tests.support.settings_json import SETTINGS_JSON

WEIGHTS = [0.0, MIN_WEIGHT, 0.3, 1.0, 7.0, MAX_WEIGHT]
ROUTER_COUNT = 4


@pytest.mark.parametrize("live_weights", [False, True])
def test_list_with_any_weights_is_applied(make_driver: DriverFactory, live_weights: bool) -> None:
    for weights in itertools.product(WEIGHTS, repeat=3):
        servers = [entry(name, weight=weight) for name, weight in zip("abc", weights, strict=True)]
        driver = make_driver(*servers, live_weights=live_weights)
        assert sorted(driver.router.endpoints.servers) == ["a", "b", "c"]
        assert driver.request("r", finish=True) in {"a", "b", "c"}


@pytest.mark.parametrize("given", [-1.0, float("nan"), 0.0, 5e-324, 1e308, float("inf")])
def test_weight_of_any_size_is_bounded(given: float) -> None:
    assert bounded_weight(given) == 0.0 or MIN_WEIGHT <= bounded_weight(given) <= MAX_WEIGHT


def answer_with_report(driver: Driver, name: str, service_time: float) -> None:
    """Send a request, and complete its attempt with a load report of a server without a queue."""
    driver.request(name)
    report = LoadReport(service_time, queue_length=0.0)
    driver.handle(AttemptCompleted(name, 0, AttemptStatus.OK, True, 0.05, report))


@pytest.mark.parametrize("earlier_reports", [0, 30])
def test_one_wrong_load_report_does_not_lengthen_the_backoff_of_all_servers(
    make_driver: DriverFactory, earlier_reports: int
) -> None:
    driver = make_driver(*(entry(name) for name in "abcdef"), router_count=ROUTER_COUNT)
    for n in range(earlier_reports):
        answer_with_report(driver, f"r{n}", 0.05)
    answer_with_report(driver, "wrong", 1e297)
    shortest_objective = min(c.latency_objective for c in driver.settings.classes.values())
    assert ROUTER_COUNT * driver.router.overload.baseline_service_time < shortest_objective
    for n in range(30):
        answer_with_report(driver, f"s{n}", 0.05)
    assert driver.router.overload.baseline_service_time == pytest.approx(0.05, rel=0.05)


def test_attempt_that_hangs_for_minutes_does_not_make_the_router_reject_requests(
    make_driver: DriverFactory,
) -> None:
    classes = {"read": RequestClass("read", latency_objective=1.0, client_timeout=2.0)}
    driver = make_driver(*(entry(name) for name in "abcdef"), classes=classes)
    driver.request("slow", time_left=599.0)
    driver.handle(AttemptCompleted("slow", 0, AttemptStatus.TIMEOUT, True, 599.0))
    assert driver.router.health.queueing_latency < classes["read"].latency_objective
    assert all(driver.request(f"r{n}", key=f"k{n}", finish=True) is not None for n in range(20))


def test_overload_window_of_zero_causes_no_division_by_zero(make_driver: DriverFactory) -> None:
    """The throughput of warm servers is measured over the overload window, which may be 0."""
    rules = {**SETTINGS_JSON["rules"], "overloadFor": 0}
    window = read_settings({**SETTINGS_JSON, "rules": rules}).overload_window
    driver = make_driver(*(entry(name) for name in "ab"), overload_window=window)
    for n in range(5):
        driver.request(f"r{n}", finish=True)
        driver.advance(1.0)
