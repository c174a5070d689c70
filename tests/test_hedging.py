"""When a read is hedged, and when it must not be."""

from __future__ import annotations

from typing import Any

import pytest

from cache_router.decisions import hedging
from cache_router.decisions.events import AttemptStatus, EndpointUpdateKind
from cache_router.endpoint import EndpointState
from tests.driver import Driver, entry, settings
from tests.router_scenarios import CACHE_ASIDE, fleet, ignore_key_popularity


def request_without_answer(driver: Driver, name: str, **fields: Any) -> None:
    """A request at a fleet whose answers are usually soon there."""
    driver.update_endpoints(*fleet("a", "b", "o"))
    for server in driver.router.endpoints.servers.values():
        server.concurrency.latency = 0.01
    ignore_key_popularity(driver)
    driver.request(name, **{"key": "k", **fields})


def test_no_second_copy_where_the_settings_forbid_it() -> None:
    driver = Driver(settings(hedging_allowed=False))
    driver.update_endpoints(*fleet("a", "b", "c"))
    driver.request("r")
    driver.advance(1.9)
    attempts = range(len(driver.servers_tried["r"]))
    in_flight = [i for i in attempts if driver.attempt_statuses["r", i] is None]
    assert len(in_flight) <= 1


@pytest.mark.parametrize("alive", [True, False])
def test_a_lost_answer_is_asked_for_again(alive: bool) -> None:
    """Without a copy a read waits out its aim, though the server that holds its key would answer."""
    driver = Driver(settings(**CACHE_ASIDE))
    request_without_answer(driver, "r1")
    first = driver.servers_tried["r1"][0]
    if alive:
        driver.now += 0.001
        driver.request("r2", key="k", finish=True)
    driver.advance(hedging.LATENCY_FACTOR * 0.01)
    assert len(driver.servers_tried["r1"]) == 2
    assert (driver.servers_tried["r1"][1] == first) is alive
    driver.complete_attempt("r1", AttemptStatus.MISS)  # and a miss goes on, though the first is still out
    assert driver.servers_tried["r1"][2] == "o"
    driver.serve("r1")
    assert driver.attempt_statuses["r1", 0] is None
    assert not driver.router.pending


@pytest.mark.parametrize("why", ["not safe", "no retries", "forbidden", "draining"])
def test_no_copy_is_sent_where_none_may_be(why: str) -> None:
    changes = {"hedging_allowed": False} if why == "forbidden" else {}
    driver = Driver(settings(**{**CACHE_ASIDE, **changes}))
    request_without_answer(driver, "r1", request_class="keyed" if why == "not safe" else "read")
    first = driver.servers_tried["r1"][0]
    driver.request("r2", key="k", finish=True)
    if why == "no retries":
        driver.router.retry_budget.tokens = 0.5
    if why == "draining":
        driver.update_endpoints(entry(first, state=EndpointState.DRAINING), kind=EndpointUpdateKind.DELTA)
    driver.advance(hedging.LATENCY_FACTOR * 0.01)
    assert first not in driver.servers_tried["r1"][1:]
    assert why == "draining" or len(driver.servers_tried["r1"]) == 1


def test_few_quick_answers_of_a_server_set_no_early_copies() -> None:
    """A server met once or twice seemed quick by chance, and a tenth of all attempts were needless copies."""
    driver = Driver(settings())
    driver.update_endpoints(*(entry(s) for s in "abcdef"))
    quick = driver.request("r", key="k")
    driver.complete_attempt("r", AttemptStatus.OK, latency=0.01)
    for n in range(60):
        if driver.request(f"u{n}", key=f"u{n}") is not None:
            latency = 0.01 if driver.servers_tried[f"u{n}"][0] == quick else 0.1
            driver.complete_attempt(f"u{n}", AttemptStatus.OK, latency=latency)
    driver.request("s", key="k")
    copies = [due - driver.now for due, token in driver.timers if token == "hedge:s"]
    assert driver.servers_tried["s"] == [quick]
    assert all(pause > 0.3 for pause in copies)
    assert copies
