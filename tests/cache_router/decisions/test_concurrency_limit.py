"""The adaptive limit on attempts in flight at one server, and the smoothed latency of the server."""

from __future__ import annotations

import math

import pytest

from cache_router.decisions import concurrency_limit
from cache_router.decisions.concurrency_limit import DECREASE_FACTOR, INITIAL_LIMIT, ConcurrencyLimit
from cache_router.decisions.events import ANSWERED, FAILED, AttemptStatus
from tests.support.driver import Driver, DriverFactory
from tests.support.router_inputs import entry
from tests.support.router_rules import Outcome
from tests.support.router_scenarios import fleet, request_and_miss


def test_slow_responses_reduce_the_limit(make_driver: DriverFactory) -> None:
    """Without a reduction an overloaded server would continue to get as many attempts as before."""
    driver = make_driver(entry("a"))
    for n in range(40):
        driver.request(f"s{n}")
        driver.now += 0.6
        driver.complete_attempt(f"s{n}", AttemptStatus.OK, latency=0.9)
    sent = [driver.request(f"r{n}") for n in range(10)]
    assert sent.count("a") == 1
    assert sent.count(None) == 9
    assert [driver.outcome(f"r{n}") for n in range(1, 10)] == [Outcome.REJECTED] * 9


def test_one_slow_response_does_not_reduce_the_limit(make_driver: DriverFactory) -> None:
    """A single expensive request does not indicate the server's capacity."""
    driver = make_driver(*fleet("a"))
    for n in range(20):
        driver.request(f"r{n}", key="k")
        driver.complete_attempt(f"r{n}", AttemptStatus.OK, latency=0.9 if n == 10 else 0.05)
    assert driver.server("a").concurrency.limit >= concurrency_limit.INITIAL_LIMIT


def test_rejection_sets_the_limit_to_the_attempts_in_flight(make_driver: DriverFactory) -> None:
    """The attempts in flight when a server rejects one are as many as it has capacity for."""
    driver = make_driver(*fleet("a"))
    driver.server("a").concurrency.limit = 9.0
    for n in range(6):
        driver.request(f"r{n}", key="k")
    driver.complete_attempt("r5", AttemptStatus.REJECTED)
    assert driver.server("a").concurrency.limit == 5.0


def test_fast_failure_does_not_lower_the_smoothed_latency(make_driver: DriverFactory) -> None:
    driver = make_driver(*fleet("a"))
    for n in range(5):
        driver.request(f"r{n}", key="k")
        driver.complete_attempt(f"r{n}", AttemptStatus.OK, latency=0.4)
    before = driver.server("a").concurrency.latency
    driver.request("r9", key="k")
    driver.complete_attempt("r9", AttemptStatus.ERROR, latency=0.001)
    assert driver.server("a").concurrency.latency == before


def test_one_timeout_hardly_raises_the_smoothed_latency_of_the_origin(cache_aside_driver: Driver) -> None:
    """A higher latency would cause most misses to be rejected until other fetches had completed."""
    cache_aside_driver.server("o").concurrency.latency = 0.05
    request_and_miss(cache_aside_driver, "r1", key="k1")
    cache_aside_driver.complete_attempt("r1", AttemptStatus.TIMEOUT, latency=2.0)
    assert cache_aside_driver.server("o").concurrency.latency < 0.1
    cache_aside_driver.server("o").concurrency.unanswered_since = float("inf")
    request_and_miss(cache_aside_driver, "r2", key="k2")
    assert cache_aside_driver.servers_tried("r2")[-1] == "o"


def test_one_timeout_does_not_reduce_the_limit(make_driver: DriverFactory) -> None:
    driver = make_driver(*fleet("a"))
    driver.request("r1", key="k")
    driver.complete_attempt("r1", AttemptStatus.TIMEOUT, latency=2.0)
    assert driver.server("a").concurrency.limit >= concurrency_limit.INITIAL_LIMIT


@pytest.mark.parametrize("status", ANSWERED)
def test_fast_response_raises_a_limit_in_use(status: AttemptStatus) -> None:
    """The limit is in use: with the completed attempt, half of it was in flight."""
    concurrency = ConcurrencyLimit(in_flight=1)
    concurrency.adapt(status, latency=0.1, target_latency=0.5, now=1.0)
    assert concurrency.limit == INITIAL_LIMIT + 1 / INITIAL_LIMIT


def test_fast_response_does_not_raise_an_unused_limit() -> None:
    """The responses of a server with little load do not indicate its capacity."""
    concurrency = ConcurrencyLimit(in_flight=0)
    concurrency.adapt(AttemptStatus.OK, latency=0.1, target_latency=0.5, now=1.0)
    assert concurrency.limit == INITIAL_LIMIT


def test_limit_decreases_once_in_a_target_latency() -> None:
    """The attempts in flight at a decrease are slow anyway; each of them would decrease the limit again."""
    concurrency = ConcurrencyLimit(latency_ratio=3.0, in_flight=4)
    limits = []
    for now in (1.0, 1.5, 1.6):
        concurrency.adapt(AttemptStatus.OK, latency=2.0, target_latency=0.5, now=now)
        limits.append(concurrency.limit)
    decreased = INITIAL_LIMIT * DECREASE_FACTOR
    assert limits == [decreased, decreased, decreased * DECREASE_FACTOR]


def test_limit_is_never_below_one() -> None:
    concurrency = ConcurrencyLimit(limit=1.0, in_flight=0)
    concurrency.adapt(AttemptStatus.REJECTED, latency=0.01, target_latency=0.5, now=1.0)
    assert concurrency.limit == 1.0


@pytest.mark.parametrize("status", [*FAILED, AttemptStatus.NOT_SENT])
def test_fast_failure_changes_no_estimate(status: AttemptStatus) -> None:
    concurrency = ConcurrencyLimit(latency=0.2, latency_ratio=0.5, in_flight=3)
    concurrency.adapt(status, latency=9.0, target_latency=0.5, now=1.0)
    assert (concurrency.latency, concurrency.latency_ratio) == (0.2, 0.5)
    assert concurrency.limit == INITIAL_LIMIT


def test_rejection_does_not_count_towards_the_latency() -> None:
    """A rejection is fast even where other responses are slow."""
    concurrency = ConcurrencyLimit(latency=0.2, in_flight=3)
    concurrency.adapt(AttemptStatus.REJECTED, latency=0.001, target_latency=0.5, now=1.0)
    assert concurrency.latency == 0.2


def test_server_is_silent_until_it_responds() -> None:
    concurrency = ConcurrencyLimit()
    concurrency.on_attempt_sent(1.0)
    concurrency.on_attempt_sent(5.0)
    assert not concurrency.is_silent(2.0, silence_timeout=1.0)
    assert concurrency.is_silent(2.1, silence_timeout=1.0)
    concurrency.on_response()
    assert not concurrency.is_silent(math.inf, silence_timeout=1.0)
