"""Conditions under which a read is hedged, and under which it must not be."""

from __future__ import annotations

from typing import Any

import pytest

from cache_router.decisions import hedging
from cache_router.decisions.events import AttemptStatus, EndpointUpdateKind, Timer, TimerKind
from cache_router.endpoint import EndpointState
from cache_router.simulator_wire import read_timer
from tests.support.driver import Driver, DriverFactory
from tests.support.router_inputs import entry
from tests.support.router_scenarios import CACHE_ASIDE, fleet, ignore_key_popularity, single_zone_fleet


def send_unanswered_request(driver: Driver, name: str, **fields: Any) -> None:
    """Send a request that stays unanswered to a fleet whose servers usually respond fast."""
    driver.update_endpoints(*fleet("a", "b", "o"))
    for server in driver.router.endpoints.servers.values():
        server.concurrency.latency = 0.01
    ignore_key_popularity(driver)
    driver.request(name, **{"key": "k", **fields})


def test_no_hedged_request_when_the_settings_forbid_it(make_driver: DriverFactory) -> None:
    driver = make_driver(*fleet("a", "b", "c"), hedging_allowed=False)
    driver.request("r")
    driver.advance(1.9)
    assert len(driver.in_flight) <= 1


@pytest.mark.parametrize("answers_others", [True, False])
def test_read_without_answer_is_hedged(make_driver: DriverFactory, answers_others: bool) -> None:
    """Otherwise a lost response costs the whole latency objective, though the server may have the key."""
    driver = make_driver(**CACHE_ASIDE)
    send_unanswered_request(driver, "r1")
    first = driver.servers_tried("r1")[0]
    if answers_others:
        driver.now += 0.001
        driver.request("r2", key="k", finish=True)
    driver.advance(hedging.HEDGE_DELAY_FACTOR * 0.01)
    assert len(driver.servers_tried("r1")) == 2
    assert (driver.servers_tried("r1")[1] == first) is answers_others
    # the request goes to the origin, though its first attempt is still in flight
    driver.complete_attempt("r1", AttemptStatus.MISS)
    assert driver.servers_tried("r1")[2] == "o"
    driver.serve("r1")
    assert driver.requests["r1"].attempts[0].is_in_flight
    assert not driver.router.pending


@pytest.mark.parametrize("reason", ["not idempotent", "no retry tokens", "forbidden", "draining"])
def test_read_is_not_hedged_at_its_server_when_that_is_not_permitted(
    make_driver: DriverFactory, reason: str
) -> None:
    changes = {"hedging_allowed": False} if reason == "forbidden" else {}
    driver = make_driver(**{**CACHE_ASIDE, **changes})
    send_unanswered_request(driver, "r1", request_class="keyed" if reason == "not idempotent" else "read")
    first = driver.servers_tried("r1")[0]
    driver.request("r2", key="k", finish=True)
    if reason == "no retry tokens":
        driver.router.retry_budget.tokens = 0.5
    if reason == "draining":
        driver.update_endpoints(entry(first, state=EndpointState.DRAINING), kind=EndpointUpdateKind.DELTA)
    driver.advance(hedging.HEDGE_DELAY_FACTOR * 0.01)
    assert first not in driver.servers_tried("r1")[1:]
    assert reason == "draining" or len(driver.servers_tried("r1")) == 1


def test_few_fast_answers_of_one_server_do_not_shorten_the_hedge_delay(make_driver: DriverFactory) -> None:
    """The hedge delay depends on the latency of all servers.

    One or two responses of a server may be unusually fast. With a delay derived from them, needless hedged
    requests would be a tenth of all attempts.
    """
    driver = make_driver(*single_zone_fleet("abcdef"))
    fast = driver.request("r", key="k")
    driver.complete_attempt("r", AttemptStatus.OK, latency=0.01)
    for n in range(60):
        if driver.request(f"u{n}", key=f"u{n}") is not None:
            latency = 0.01 if driver.servers_tried(f"u{n}")[0] == fast else 0.1
            driver.complete_attempt(f"u{n}", AttemptStatus.OK, latency=latency)
    driver.request("s", key="k")
    hedge = Timer(TimerKind.HEDGE, "s")
    hedge_delays = [due - driver.now for due, context in driver.timers if read_timer(context) == hedge]
    assert driver.servers_tried("s") == [fast]
    assert hedge_delays
    assert min(hedge_delays) > 0.3
