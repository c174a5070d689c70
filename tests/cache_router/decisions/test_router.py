"""Events of a request from its arrival to its end, and its final answer when no server is ready."""

from __future__ import annotations

import pytest

from cache_router.decisions import endpoints
from cache_router.decisions.actions import Action, Cancel, Reject, SetTimer
from cache_router.decisions.events import (
    AttemptCompleted,
    AttemptStatus,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Request,
    ResponseStarted,
    Timer,
    TimerFired,
    TimerKind,
)
from cache_router.endpoint import Endpoint, EndpointState
from tests.support.driver import Driver, DriverFactory
from tests.support.router_inputs import entry
from tests.support.router_rules import Outcome
from tests.support.router_scenarios import CACHE_ASIDE, fleet

DRAINING = (entry("a", state=EndpointState.DRAINING), entry("b", weight=0.0, state=EndpointState.DRAINING))


@pytest.mark.parametrize("endpoints_known", [None, DRAINING], ids=["no endpoint list", "draining only"])
def test_request_is_queued_and_rejected_in_time_without_a_ready_server(
    driver: Driver, endpoints_known: tuple[Endpoint, ...] | None
) -> None:
    if endpoints_known is not None:
        driver.update_endpoints(*endpoints_known)
    driver.request("r")
    assert driver.servers_tried("r") == []
    driver.advance(3.0)
    assert driver.outcome("r") is Outcome.REJECTED


def test_queued_request_is_sent_when_a_server_is_listed(driver: Driver) -> None:
    driver.request("r")
    driver.now += 0.2
    driver.update_endpoints(*fleet("a"))
    assert driver.servers_tried("r") == ["a"]


@pytest.mark.parametrize("time_left", [0.0, 0.001])
def test_request_without_time_left_is_rejected_at_once(make_driver: DriverFactory, time_left: float) -> None:
    driver = make_driver(*fleet("a"))
    driver.request("r", time_left=time_left)
    assert driver.outcome("r") is Outcome.REJECTED


def test_client_disconnect_cancels_the_attempt_and_ends_the_request(make_driver: DriverFactory) -> None:
    driver = make_driver(*fleet("a", "b"))
    driver.request("r")
    assert driver.disconnect("r") == [Cancel("r", 0)]
    assert driver.complete_attempt("r", AttemptStatus.CANCELLED) is None
    assert driver.handle(ClientDisconnected("r")) == []


def test_events_about_unknown_requests_and_timers_are_ignored(driver: Driver) -> None:
    for event in (
        AttemptCompleted("x", 0, AttemptStatus.OK, True),
        ClientDisconnected("x"),
        TimerFired(Timer(TimerKind.QUEUE_DEADLINE, "x")),
        TimerFired(Timer(TimerKind.IDLE_CONNECTIONS, "unknown")),
        TimerFired(Timer(TimerKind.HEDGE, "unknown")),
        ResponseStarted("x", 0),
        EndpointUpdate(EndpointUpdateKind.DELTA, (entry("a", state=EndpointState.REMOVED),)),
        EndpointUpdate(EndpointUpdateKind.SNAPSHOT, ()),
    ):
        actions = [action for action in driver.handle(event) if not isinstance(action, SetTimer)]
        assert actions == [], event
    assert driver.router.handle(driver.now, Request("r", "unheard-of", 1.0)) == [Reject("r")]


def test_started_response_is_neither_retried_nor_rejected(make_driver: DriverFactory) -> None:
    driver = make_driver(*fleet("a", "b"))
    driver.request("r")
    driver.handle(ResponseStarted("r", 0))
    driver.handle(TimerFired(Timer(TimerKind.QUEUE_DEADLINE, "r")))
    assert "r" in driver.open_requests
    assert len(driver.servers_tried("r")) == 1


def test_equal_seeds_and_events_give_equal_actions(make_driver: DriverFactory) -> None:
    def run() -> list[list[Action]]:
        driver = make_driver(seed=7, must_subscribe=True)
        answers = [
            driver.update_endpoints(*fleet("a", "b", "c"), kind=EndpointUpdateKind.CACHED),
            driver.update_endpoints(kind=EndpointUpdateKind.FAILED),
        ]
        for n in range(30):
            driver.request(f"r{n}", key=f"k{n}")
            answers.append(driver.last_actions)
        return answers

    assert run() == run()


def test_memory_stays_bounded_over_many_keys_servers_and_requests(make_driver: DriverFactory) -> None:
    """State is kept only for requests in flight and listed servers."""
    driver = make_driver(**CACHE_ASIDE)
    for n in range(3000):
        if n % 20 == 0:
            driver.update_endpoints(*fleet(*(f"s{n // 20 + i}" for i in range(4)), *["o"] * (n % 40 > 0)))
        if n % 500 == 480:
            driver.update_endpoints()
        name = f"r{n}"
        if driver.request(name, key=f"k{n}") is not None:
            driver.complete_attempt(name, AttemptStatus.MISS if n % 3 else AttemptStatus.OK)
        if driver.servers_tried(name)[-1:] == ["o"]:
            driver.serve(name)
        driver.advance(0.05)
    driver.advance(5.0)
    router = driver.router
    assert not router.pending
    assert not router.attempts
    assert len(router.endpoints.servers) <= 5
    assert len(router.queue) < 100
    assert (
        router.endpoints.ring.size
        == len(list(router.endpoints.ring.points()))
        <= 5 * endpoints.POINTS_PER_UNIT
    )
