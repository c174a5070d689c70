"""Requests that wait for capacity at the origin: their priority, deadlines and Retry-After."""

from __future__ import annotations

import pytest

from cache_router.decisions.actions import Reject
from cache_router.decisions.events import AttemptStatus, Request
from cache_router.decisions.origin_queue import (
    FETCH_LATENCIES_LEFT,
    WRITE_LATENCIES_LEFT,
    OriginQueue,
    latest_start,
)
from cache_router.decisions.pending_request import PendingRequest
from cache_router.decisions.server import Server
from cache_router.settings import RequestClass
from tests.support.driver import Driver, DriverFactory
from tests.support.router_inputs import KEYED, READ, entry
from tests.support.router_rules import Outcome
from tests.support.router_scenarios import CACHE_ASIDE, fleet, request_and_miss


@pytest.fixture
def driver(cache_aside_driver: Driver) -> Driver:
    """The driver of a router with an origin; other routers do not use the queue for the origin."""
    return cache_aside_driver


def new_pending_request(
    name: str, request_class: RequestClass = READ, deadline: float = 101.0, is_write: bool = False
) -> PendingRequest:
    """Return a request for the origin."""
    request = Request(name, request_class.name, 1.0, is_write=is_write)
    return PendingRequest(request, request_class, deadline, to_origin=True)


def test_requests_leave_the_queue_by_priority_then_by_age() -> None:
    queue = OriginQueue()
    classes = {"r1": READ, "w1": KEYED, "r2": READ, "w2": KEYED}
    for name, request_class in classes.items():
        queue.push(new_pending_request(name, request_class))
    popped = [pending for pending in (queue.pop() for _ in range(5)) if pending is not None]
    assert [pending.request.request_id for pending in popped] == ["w1", "w2", "r1", "r2"]
    assert [pending.is_queued for pending in popped] == [False] * 4


def test_drained_requests_are_in_order_and_no_longer_queued() -> None:
    queue = OriginQueue()
    requests = [new_pending_request("r1"), new_pending_request("w1", KEYED), new_pending_request("r2")]
    for pending in requests:
        queue.push(pending)
    requests[0].mark_dequeued()
    drained = queue.drain()
    assert drained == [requests[1], requests[2]]
    assert [pending.is_queued for pending in drained] == [False, False]
    assert not queue


def test_void_entries_are_neither_served_nor_overdue_nor_kept() -> None:
    queue = OriginQueue()
    ended, waiting = new_pending_request("r1"), new_pending_request("r2")
    for pending in (ended, waiting):
        queue.push(pending)
    ended.mark_dequeued()
    assert queue.overdue(None, now=101.0) == [waiting]
    assert len(queue) == 2
    queue.drop_void_entries()
    assert len(queue) == 1
    assert queue.pop() is waiting
    assert queue.pop() is None


@pytest.mark.parametrize(
    ("is_write", "latencies"), [(False, FETCH_LATENCIES_LEFT), (True, WRITE_LATENCIES_LEFT)]
)
def test_latest_start_leaves_the_latency_of_the_origin(is_write: bool, latencies: float) -> None:
    pending = new_pending_request("r", deadline=101.0, is_write=is_write)
    origin = Server(entry("o"), is_cache=False)
    origin.concurrency.latency = 0.2
    assert latest_start(pending, origin) == pytest.approx(101.0 - latencies * 0.2)
    assert latest_start(pending, None) == 101.0


def test_reads_queued_for_the_origin_are_answered_in_time(driver: Driver) -> None:
    for n in range(60):
        driver.request(f"r{n}", key=f"k{n}")
        driver.complete_attempt(f"r{n}", AttemptStatus.MISS)
    driver.advance(3.0)
    ended = [name for name, request in driver.requests.items() if request.outcome is not None]
    assert len(ended) == 60


@pytest.mark.parametrize("cause", ["client disconnected", "attempt failed"])
def test_queued_fetches_are_sent_after_one_is_lost(driver: Driver, cause: str) -> None:
    driver.server("o").concurrency.limit = 1.0
    request_and_miss(driver, "r1", "r2", "r3")
    assert [driver.servers_tried(n) for n in ("r1", "r2", "r3")] == [["a", "o"], ["a"], ["a"]]
    if cause == "client disconnected":
        driver.disconnect("r1")
    driver.complete_attempt("r1", AttemptStatus.RESET)
    assert [driver.servers_tried(n) for n in ("r2", "r3")] == [["a", "o"], ["a"]]
    driver.advance(3.0)
    assert not driver.open_requests


def test_fetch_that_cannot_complete_in_time_is_rejected(driver: Driver) -> None:
    """At a slow origin, the fetch would end after its latency objective and delay other fetches."""
    driver.server("o").concurrency.limit = 2.0
    driver.server("o").concurrency.latency = 0.45
    for n in "123":
        request_and_miss(driver, f"r{n}", key=f"k{n}")
    assert driver.servers_tried("r2") == ["a", "o"]
    assert driver.servers_tried("r3") == ["a"]
    driver.now += 0.5
    driver.serve("r1")
    assert driver.servers_tried("r3") == ["a"]
    assert driver.outcome("r3") is Outcome.REJECTED


def test_fetch_is_sent_only_with_twice_the_origin_latency_left(driver: Driver) -> None:
    """A fetch that its client cancels is wasted, because it is not stored in a cache."""
    driver.server("o").concurrency.latency = 0.4
    request_and_miss(driver, "r1", key="k1")
    driver.request("r2", key="k2", time_left=0.7)
    assert driver.complete_attempt("r2", AttemptStatus.MISS) is None
    assert driver.outcome("r2") is Outcome.REJECTED
    driver.request("r3", key="k3", time_left=0.9)
    assert driver.complete_attempt("r3", AttemptStatus.MISS) == "o"


def test_write_is_sent_with_once_the_origin_latency_left(driver: Driver) -> None:
    """A write stores nothing in a cache. The margin of a fetch would reject most writes at a slow origin."""
    driver.request("r0", key="k0", is_write=True)
    driver.server("o").concurrency.latency = 0.6
    assert driver.request("r1", key="k1", is_write=True) == "o"
    driver.server("o").concurrency.latency = 1.1
    assert driver.request("r2", key="k2", is_write=True) is None
    assert driver.outcome("r2") is Outcome.REJECTED


def test_higher_priority_weight_leaves_the_origin_queue_first(driver: Driver) -> None:
    """Without priorities, writes wait behind reads that missed when the origin is slow."""
    driver.server("o").concurrency.limit = 1.0
    request_and_miss(driver, "r1", key="k1")
    request_and_miss(driver, "r2", key="k2")
    driver.request("w", request_class="keyed", key="k3", is_write=True)
    driver.complete_attempt("r1", AttemptStatus.RESET)
    assert driver.servers_tried("w") == ["o"]
    assert driver.servers_tried("r2") == ["a"]


def test_origin_queue_drops_entries_of_ended_requests(driver: Driver) -> None:
    """Entries of ended reads would otherwise accumulate while writes of higher priority keep arriving."""
    driver.server("o").concurrency.limit = 1.0
    for n in range(2000):
        request_and_miss(driver, f"r{n}", key=f"k{n}")
        driver.server("o").concurrency.limit = 1.0
        driver.advance(0.05)
    assert len(driver.router.queue) <= 2 * len(driver.router.pending) + 1 < 200


def test_queued_fetch_is_rejected_once_it_cannot_complete_in_time(driver: Driver) -> None:
    """It is rejected before its latency objective ends, because a fetch becomes useless long before that."""
    driver.server("o").concurrency.limit = 1.0
    driver.server("o").concurrency.latency = 0.3
    request_and_miss(driver, "r1", key="k1")
    request_and_miss(driver, "r2", key="k2")
    driver.advance(0.35)
    assert driver.outcome("r2") is None
    driver.advance(0.1)
    assert driver.outcome("r2") is Outcome.REJECTED
    assert driver.servers_tried("r2") == ["a"]


def test_queued_fetches_are_rejected_when_the_origin_slows_down(driver: Driver) -> None:
    driver.server("o").concurrency.limit = 2.0
    for n in "123":
        request_and_miss(driver, f"r{n}", key=f"k{n}")
    driver.server("o").concurrency.limit = 1.0
    # the smoothed latency is 0.6 s now, and twice that exceeds the latency objective
    driver.complete_attempt("r1", AttemptStatus.OK, latency=3.0)
    assert driver.outcome("r3") is Outcome.REJECTED


def test_queued_fetch_waits_longer_when_the_origin_gets_faster(driver: Driver) -> None:
    driver.server("o").concurrency.limit = 1.0
    driver.server("o").concurrency.latency = 0.3
    request_and_miss(driver, "r1", key="k1")
    request_and_miss(driver, "r2", key="k2")
    driver.server("o").concurrency.latency = 0.1
    driver.advance(0.6)
    assert driver.outcome("r2") is None
    driver.serve("r1")
    assert driver.servers_tried("r2") == ["a", "o"]


@pytest.mark.parametrize(
    ("latency", "max_retry_after", "retry_after"), [(1.1, 2.0, 1.1), (1.1, 0.5, 0.5), (1.1, 0.0, 0.0)]
)
def test_rejection_carries_retry_after(
    make_driver: DriverFactory, latency: float, max_retry_after: float, retry_after: float
) -> None:
    """Clients that retry at once would add to the overload that caused their rejection."""
    driver = make_driver(*fleet("a", "o"), **CACHE_ASIDE, max_retry_after=max_retry_after)
    driver.request("w0", key="k0", is_write=True)
    driver.server("o").concurrency.latency = latency
    driver.request("w1", key="k1", is_write=True)
    assert Reject("w1", retry_after) in driver.last_actions
