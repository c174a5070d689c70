"""Requests that wait for capacity at the origin: priority, deadlines, Retry-After."""

from __future__ import annotations

import pytest

from cache_router.decisions.actions import Reject
from cache_router.decisions.events import AttemptStatus
from tests.driver import Driver, Outcome, settings
from tests.router_scenarios import CACHE_ASIDE, fleet, request_and_miss


def test_reads_that_wait_for_the_origin_are_answered_in_time() -> None:
    driver = Driver(settings(**CACHE_ASIDE))
    driver.update_endpoints(*fleet("a", "o"))
    for n in range(60):
        driver.request(f"r{n}", key=f"k{n}")
        driver.complete_attempt(f"r{n}", AttemptStatus.MISS)
    driver.advance(3.0)
    assert len(driver.outcomes) == 60


@pytest.mark.parametrize("how", ["gone", "failed"])
def test_a_lost_fetch_does_not_strand_those_waiting(how: str) -> None:
    driver = Driver(settings(**CACHE_ASIDE))
    driver.update_endpoints(*fleet("a", "o"))
    driver.server("o").concurrency.limit = 1.0
    request_and_miss(driver, "r1", "r2", "r3")
    assert [driver.servers_tried[n] for n in ("r1", "r2", "r3")] == [["a", "o"], ["a"], ["a"]]
    if how == "gone":
        driver.disconnect("r1")
    driver.complete_attempt("r1", AttemptStatus.RESET)
    assert [driver.servers_tried[n] for n in ("r2", "r3")] == [["a", "o"], ["a"]]
    driver.advance(3.0)
    assert not driver.open_requests


def test_no_fetch_is_sent_that_cannot_be_back_in_time() -> None:
    """With a slow origin, fetches were sent that came back after the aim, and kept others out."""
    driver = Driver(settings(**CACHE_ASIDE))
    driver.update_endpoints(*fleet("a", "o"))
    driver.server("o").concurrency.limit = 2.0
    driver.server("o").concurrency.latency = 0.45
    for n in "123":
        request_and_miss(driver, f"r{n}", key=f"k{n}")
    assert driver.servers_tried["r2"] == ["a", "o"]
    assert driver.servers_tried["r3"] == ["a"]
    driver.now += 0.5
    driver.serve("r1")
    assert driver.servers_tried["r3"] == ["a"]
    assert driver.outcomes["r3"] is Outcome.REJECTED


def test_a_fetch_needs_twice_the_usual_latency() -> None:
    """A third of fetches were given up midway by their clients, and so were not even stored."""
    driver = Driver(settings(**CACHE_ASIDE))
    driver.update_endpoints(*fleet("a", "o"))
    driver.server("o").concurrency.latency = 0.4
    request_and_miss(driver, "r1", key="k1")
    driver.request("r2", key="k2", time_left=0.7)
    assert driver.complete_attempt("r2", AttemptStatus.MISS) is None
    assert driver.outcomes["r2"] is Outcome.REJECTED
    driver.request("r3", key="k3", time_left=0.9)
    assert driver.complete_attempt("r3", AttemptStatus.MISS) == "o"


def test_a_write_needs_the_usual_latency_but_once() -> None:
    """With an origin somewhat slow every booking was failed at once, though most would have been in time."""
    driver = Driver(settings(**CACHE_ASIDE))
    driver.update_endpoints(*fleet("a", "o"))
    driver.request("r0", key="k0", is_write=True)
    driver.server("o").concurrency.latency = 0.6
    assert driver.request("r1", key="k1", is_write=True) == "o"
    driver.server("o").concurrency.latency = 1.1
    assert driver.request("r2", key="k2", is_write=True) is None
    assert driver.outcomes["r2"] is Outcome.REJECTED


def test_worth_goes_first_at_the_origin() -> None:
    """Bookings waited behind the misses of reads when the origin was slow."""
    driver = Driver(settings(**CACHE_ASIDE))
    driver.update_endpoints(*fleet("a", "o"))
    driver.server("o").concurrency.limit = 1.0
    request_and_miss(driver, "r1", key="k1")
    request_and_miss(driver, "r2", key="k2")
    driver.request("w", request_class="keyed", key="k3", is_write=True)
    driver.complete_attempt("r1", AttemptStatus.RESET)
    assert driver.servers_tried.get("w") == ["o"]
    assert driver.servers_tried["r2"] == ["a"]


def test_the_queue_for_the_origin_stays_bounded() -> None:
    """Reads long ended lay behind a steady flow of writes of more worth."""
    driver = Driver(settings(**CACHE_ASIDE))
    driver.update_endpoints(*fleet("a", "o"))
    driver.server("o").concurrency.limit = 1.0
    for n in range(2000):
        request_and_miss(driver, f"r{n}", key=f"k{n}")
        driver.server("o").concurrency.limit = 1.0
        driver.advance(0.05)
    assert len(driver.router.queue) <= 2 * len(driver.router.pending) + 1 < 200


def test_what_can_no_longer_be_fetched_in_time_is_refused_at_once() -> None:
    """Requests waited for the origin until their aim though no fetch could have been back by then."""
    driver = Driver(settings(**CACHE_ASIDE))
    driver.update_endpoints(*fleet("a", "o"))
    driver.server("o").concurrency.limit = 1.0
    driver.server("o").concurrency.latency = 0.3
    request_and_miss(driver, "r1", key="k1")
    request_and_miss(driver, "r2", key="k2")
    driver.advance(0.35)
    assert "r2" not in driver.outcomes
    driver.advance(0.1)
    assert driver.outcomes["r2"] is Outcome.REJECTED
    assert driver.servers_tried["r2"] == ["a"]


def test_a_slower_origin_ends_at_once_what_it_leaves_no_time_for() -> None:
    driver = Driver(settings(**CACHE_ASIDE))
    driver.update_endpoints(*fleet("a", "o"))
    driver.server("o").concurrency.limit = 2.0
    for n in "123":
        request_and_miss(driver, f"r{n}", key=f"k{n}")
    driver.server("o").concurrency.limit = 1.0
    # the smoothed latency is 0.6 now, and twice that is past the latency objective
    driver.complete_attempt("r1", AttemptStatus.OK, latency=3.0)
    assert driver.outcomes["r3"] is Outcome.REJECTED


def test_a_wait_goes_on_when_the_origin_gets_faster() -> None:
    driver = Driver(settings(**CACHE_ASIDE))
    driver.update_endpoints(*fleet("a", "o"))
    driver.server("o").concurrency.limit = 1.0
    driver.server("o").concurrency.latency = 0.3
    request_and_miss(driver, "r1", key="k1")
    request_and_miss(driver, "r2", key="k2")
    driver.server("o").concurrency.latency = 0.1
    driver.advance(0.6)
    assert "r2" not in driver.outcomes
    driver.serve("r1")
    assert driver.servers_tried["r2"] == ["a", "o"]


@pytest.mark.parametrize(("latency", "longest", "told"), [(1.1, 2.0, 1.1), (1.1, 0.5, 0.5), (1.1, 0.0, 0.0)])
def test_a_refusal_tells_when_to_come_back(latency: float, longest: float, told: float) -> None:
    """Clients that ask again at once meet what they were just refused for."""
    driver = Driver(settings(**CACHE_ASIDE, max_retry_after=longest))
    driver.update_endpoints(*fleet("a", "o"))
    driver.request("w0", key="k0", is_write=True)
    driver.server("o").concurrency.latency = latency
    driver.request("w1", key="k1", is_write=True)
    assert Reject("w1", told) in driver.last_actions
