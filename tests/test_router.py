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
from tests.driver import Driver, entry, settings
from tests.router_scenarios import ASIDE, fleet


def test_held_requests_are_answered_in_time_without_any_server() -> None:
    d = Driver(settings())
    d.request("r")
    assert not d.sends
    d.wait(3.0)
    assert d.ended["r"] == "refused"


def test_held_requests_go_out_when_a_server_is_listed() -> None:
    d = Driver(settings())
    d.request("r")
    d.now += 0.2
    d.list(*fleet("a"))
    assert d.sends["r"] == ["a"]


def test_a_list_of_draining_servers_only_holds_requests_and_answers_them_in_time() -> None:
    d = Driver(settings())
    d.list(entry("a", state=EndpointState.DRAINING), entry("b", weight=0.0, state=EndpointState.DRAINING))
    d.request("r")
    assert not d.sends
    d.wait(3.0)
    assert d.ended["r"] == "refused"


@pytest.mark.parametrize("time_left", [0.0, 0.001])
def test_a_budget_of_nothing_is_refused_at_once(time_left: float) -> None:
    d = Driver(settings())
    d.list(*fleet("a"))
    d.request("r", time_left=time_left)
    assert d.ended["r"] == "refused"


def test_client_gone_ends_everything_for_it() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    d.request("r")
    d.finish("r", "gone")
    assert d.feed(ClientDisconnected("r")) == [Cancel("r", 0)]
    assert d.end("r", AttemptStatus.CANCELLED) is None
    assert d.feed(ClientDisconnected("r")) == []


def test_unknown_things_are_passed_over() -> None:
    d = Driver(settings())
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
        assert [a for a in d.feed(event) if not isinstance(a, SetTimer)] == []
    assert d.router.handle(d.now, Request("r", "unheard-of", 1.0)) == [Reject("r")]


def test_a_stream_that_began_is_left_alone() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    d.request("r")
    d.feed(ResponseStarted("r", 0))
    d.feed(TimerFired(Timer(TimerKind.QUEUE_DEADLINE, "r")))
    assert "r" in d.open
    assert len(d.sends["r"]) == 1


def test_equal_events_give_equal_actions() -> None:
    def run() -> list[list[Action]]:
        d = Driver(settings(must_subscribe=True), seed=7)
        said = [
            d.list(*fleet("a", "b", "c"), kind=EndpointUpdateKind.CACHED),
            d.list(kind=EndpointUpdateKind.FAILED),
        ]
        for n in range(30):
            d.request(f"r{n}", key=f"k{n}")
            said.append(d.last)
        return said

    assert run() == run()


def test_a_long_run_holds_bounded_memory() -> None:
    """Many keys, servers and requests pass through; what is kept follows what is in hand."""
    d = Driver(settings(**ASIDE))
    for n in range(3000):
        if n % 20 == 0:
            d.list(*fleet(*(f"s{n // 20 + i}" for i in range(4)), *["o"] * (n % 40 > 0)))
        if n % 500 == 480:
            d.list()
        name = f"r{n}"
        if d.request(name, key=f"k{n}") is not None:
            d.end(name, AttemptStatus.MISS if n % 3 else AttemptStatus.OK)
        if d.sends.get(name, [""])[-1] == "o":
            d.ok(name)
        d.wait(0.05)
    d.wait(5.0)
    r = d.router
    assert not r.pending
    assert not r.attempts
    assert len(r.endpoints.servers) <= 5
    assert len(r.queue) < 100
    assert r.endpoints.ring.size == len(list(r.endpoints.ring.points())) <= 5 * endpoints.POINTS_PER_UNIT
