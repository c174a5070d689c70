"""The life of a request, and what the router answers where no server can take it."""

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
from cache_router.endpoint import EndpointState
from tests.driver import Driver, Outcome, entry, settings
from tests.router_scenarios import CACHE_ASIDE, fleet


def test_held_requests_are_answered_in_time_without_any_server() -> None:
    driver = Driver(settings())
    driver.request("r")
    assert not driver.servers_tried
    driver.advance(3.0)
    assert driver.outcomes["r"] is Outcome.REJECTED


def test_held_requests_go_out_when_a_server_is_listed() -> None:
    driver = Driver(settings())
    driver.request("r")
    driver.now += 0.2
    driver.update_endpoints(*fleet("a"))
    assert driver.servers_tried["r"] == ["a"]


def test_a_list_of_draining_servers_only_holds_requests_and_answers_them_in_time() -> None:
    driver = Driver(settings())
    driver.update_endpoints(
        entry("a", state=EndpointState.DRAINING), entry("b", weight=0.0, state=EndpointState.DRAINING)
    )
    driver.request("r")
    assert not driver.servers_tried
    driver.advance(3.0)
    assert driver.outcomes["r"] is Outcome.REJECTED


@pytest.mark.parametrize("time_left", [0.0, 0.001])
def test_a_budget_of_nothing_is_refused_at_once(time_left: float) -> None:
    driver = Driver(settings())
    driver.update_endpoints(*fleet("a"))
    driver.request("r", time_left=time_left)
    assert driver.outcomes["r"] is Outcome.REJECTED


def test_client_gone_ends_everything_for_it() -> None:
    driver = Driver(settings())
    driver.update_endpoints(*fleet("a", "b"))
    driver.request("r")
    assert driver.disconnect("r") == [Cancel("r", 0)]
    assert driver.complete_attempt("r", AttemptStatus.CANCELLED) is None
    assert driver.handle(ClientDisconnected("r")) == []


def test_unknown_things_are_passed_over() -> None:
    driver = Driver(settings())
    for event in (
        AttemptCompleted("x", 0, AttemptStatus.OK, True),
        ClientDisconnected("x"),
        TimerFired(Timer(TimerKind.QUEUE_DEADLINE, "x")),
        TimerFired(Timer(TimerKind.IDLE_CONNECTIONS, "odd")),
        TimerFired(Timer(TimerKind.HEDGE, "odd")),
        ResponseStarted("x", 0),
        EndpointUpdate(EndpointUpdateKind.DELTA, (entry("a", state=EndpointState.REMOVED),)),
        EndpointUpdate(EndpointUpdateKind.SNAPSHOT, ()),
    ):
        assert [a for a in driver.handle(event) if not isinstance(a, SetTimer)] == []
    assert driver.router.handle(driver.now, Request("r", "unheard-of", 1.0)) == [Reject("r")]


def test_a_stream_that_began_is_left_alone() -> None:
    driver = Driver(settings())
    driver.update_endpoints(*fleet("a", "b"))
    driver.request("r")
    driver.handle(ResponseStarted("r", 0))
    driver.handle(TimerFired(Timer(TimerKind.QUEUE_DEADLINE, "r")))
    assert "r" in driver.open_requests
    assert len(driver.servers_tried["r"]) == 1


def test_equal_events_give_equal_actions() -> None:
    def run() -> list[list[Action]]:
        driver = Driver(settings(must_subscribe=True), seed=7)
        said = [
            driver.update_endpoints(*fleet("a", "b", "c"), kind=EndpointUpdateKind.CACHED),
            driver.update_endpoints(kind=EndpointUpdateKind.FAILED),
        ]
        for n in range(30):
            driver.request(f"r{n}", key=f"k{n}")
            said.append(driver.last_actions)
        return said

    assert run() == run()


def test_a_long_run_holds_bounded_memory() -> None:
    """Many keys, servers and requests pass through; what is kept follows what is in hand."""
    driver = Driver(settings(**CACHE_ASIDE))
    for n in range(3000):
        if n % 20 == 0:
            driver.update_endpoints(*fleet(*(f"s{n // 20 + i}" for i in range(4)), *["o"] * (n % 40 > 0)))
        if n % 500 == 480:
            driver.update_endpoints()
        name = f"r{n}"
        if driver.request(name, key=f"k{n}") is not None:
            driver.complete_attempt(name, AttemptStatus.MISS if n % 3 else AttemptStatus.OK)
        if driver.servers_tried.get(name, [""])[-1] == "o":
            driver.serve(name)
        driver.advance(0.05)
    driver.advance(5.0)
    r = driver.router
    assert not r.pending
    assert not r.attempts
    assert len(r.endpoints.servers) <= 5
    assert len(r.queue) < 100
    assert r.endpoints.ring.size == len(list(r.endpoints.ring.points())) <= 5 * endpoints.POINTS_PER_UNIT
