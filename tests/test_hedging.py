"""When a read is hedged, and when it must not be."""

from __future__ import annotations

from typing import Any

import pytest

from cache_router.decisions import hedging
from cache_router.decisions.events import AttemptStatus, EndpointUpdateKind
from cache_router.endpoint import EndpointState
from tests.driver import Driver, entry, settings
from tests.router_scenarios import ASIDE, fleet


def unanswered(d: Driver, name: str, **fields: Any) -> None:
    """A request at a fleet whose answers are usually soon there."""
    d.list(*fleet("a", "b", "o"))
    for server in d.router.endpoints.servers.values():
        server.concurrency.latency = 0.01
    d.router.selector.popularity.count = lambda *_: 0.0  # type: ignore[method-assign]
    d.request(name, **{"key": "k", **fields})


def test_no_second_copy_where_the_settings_forbid_it() -> None:
    d = Driver(settings(hedging_allowed=False))
    d.list(*fleet("a", "b", "c"))
    d.request("r")
    d.wait(1.9)
    outstanding = [i for i in range(len(d.sends["r"])) if d.state["r", i] is None]
    assert len(outstanding) <= 1


@pytest.mark.parametrize("alive", [True, False])
def test_a_lost_answer_is_asked_for_again(alive: bool) -> None:
    """Without a copy a read waits out its aim, though the server that holds its key would answer."""
    d = Driver(settings(**ASIDE))
    unanswered(d, "r1")
    first = d.sends["r1"][0]
    if alive:
        d.now += 0.001
        d.request("r2", key="k", finish=True)
    d.wait(hedging.LATENCY_FACTOR * 0.01)
    assert len(d.sends["r1"]) == 2
    assert (d.sends["r1"][1] == first) is alive
    d.end("r1", AttemptStatus.MISS)  # and a miss goes on, though the first is still out
    assert d.sends["r1"][2] == "o"
    d.ok("r1")
    assert d.state["r1", 0] is None
    assert not d.router.pending


@pytest.mark.parametrize("why", ["not safe", "no retries", "forbidden", "draining"])
def test_no_copy_is_sent_where_none_may_be(why: str) -> None:
    changes = {"hedging_allowed": False} if why == "forbidden" else {}
    d = Driver(settings(**{**ASIDE, **changes}))
    unanswered(d, "r1", request_class="keyed" if why == "not safe" else "read")
    first = d.sends["r1"][0]
    d.request("r2", key="k", finish=True)
    if why == "no retries":
        d.router.retry_budget.tokens = 0.5
    if why == "draining":
        d.list(entry(first, state=EndpointState.DRAINING), kind=EndpointUpdateKind.DELTA)
    d.wait(hedging.LATENCY_FACTOR * 0.01)
    assert first not in d.sends["r1"][1:]
    assert why == "draining" or len(d.sends["r1"]) == 1


def test_few_quick_answers_of_a_server_set_no_early_copies() -> None:
    """A server met once or twice seemed quick by chance, and a tenth of all attempts were needless copies."""
    d = Driver(settings())
    d.list(*(entry(s) for s in "abcdef"))
    quick = d.request("r", key="k")
    d.end("r", AttemptStatus.OK, latency=0.01)
    for n in range(60):
        if d.request(f"u{n}", key=f"u{n}") is not None:
            d.end(f"u{n}", AttemptStatus.OK, latency=0.01 if d.sends[f"u{n}"][0] == quick else 0.1)
    d.request("s", key="k")
    copies = [due - d.now for due, token in d.timers if token == "hedge:s"]
    assert d.sends["s"] == [quick]
    assert all(pause > 0.3 for pause in copies)
    assert copies
