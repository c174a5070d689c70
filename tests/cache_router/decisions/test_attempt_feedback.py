"""State that the parts of a router record of a completed attempt."""

from __future__ import annotations

import pytest

from cache_router.decisions.attempt_feedback import NO_RESPONSE
from cache_router.decisions.concurrency_limit import INITIAL_LIMIT
from cache_router.decisions.events import AttemptStatus
from tests.support.driver import Driver, DriverFactory
from tests.support.router_inputs import entry
from tests.support.router_scenarios import fleet, request_and_miss


@pytest.mark.parametrize("status", AttemptStatus)
def test_only_a_response_ends_the_silence_of_a_server(
    make_driver: DriverFactory, status: AttemptStatus
) -> None:
    driver = make_driver(entry("a"))
    driver.request("r", key="k")
    concurrency = driver.server("a").concurrency
    sent_at = driver.now
    driver.now += 0.1
    driver.complete_attempt("r", status)
    assert (concurrency.unanswered_since == sent_at) is (status in NO_RESPONSE)
    assert concurrency.last_completed_at == driver.now


def test_ejection_caps_the_limit_before_the_attempt_adapts_it(make_driver: DriverFactory) -> None:
    driver = make_driver(*fleet("a", "b", "c"))
    first = driver.request("r", key="k")
    assert first is not None
    driver.server(first).concurrency.limit = 40.0
    driver.complete_attempt("r", AttemptStatus.CONNECT_FAILED)
    assert driver.server(first).concurrency.limit == INITIAL_LIMIT


def test_attempts_at_the_origin_do_not_count_towards_the_health_of_the_caches(
    cache_aside_driver: Driver,
) -> None:
    request_and_miss(cache_aside_driver, "r")
    before = cache_aside_driver.router.health.success_rate
    cache_aside_driver.complete_attempt("r", AttemptStatus.ERROR)
    assert cache_aside_driver.router.health.success_rate == before
    assert not cache_aside_driver.server("o").failures.consecutive_failures
