"""Lifecycle of a request, tested through the methods that handle one event each."""

from __future__ import annotations

import pytest

from cache_router.decisions.actions import Cancel, Fail, Reject, Send, SetTimer
from cache_router.decisions.events import (
    AttemptCompleted,
    AttemptStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    Request,
)
from cache_router.decisions.request_lifecycle import RequestLifecycle
from tests.support.router_inputs import READ
from tests.support.router_scenarios import CACHE_ASIDE, fleet, started_router

NOW = 100.0


def new_lifecycle(*servers: str, cache_aside: bool = True) -> RequestLifecycle:
    """Return the request lifecycle of a router that knows these servers; "o" is the origin."""
    return started_router(*servers, now=NOW, **(CACHE_ASIDE if cache_aside else {})).requests


def start_request(lifecycle: RequestLifecycle, request_class: str = "read", is_write: bool = False) -> str:
    """Start a request "r", and return the server of its first attempt."""
    actions = lifecycle.sender.actions.start_event()
    lifecycle.on_request(Request("r", request_class, 2.0, key="k", is_write=is_write), NOW)
    (send,) = (action for action in actions if isinstance(action, Send))
    return send.server


@pytest.mark.parametrize("time_left", [2.0, 0.5])
def test_deadline_is_the_earlier_of_the_latency_objective_and_the_time_left(time_left: float) -> None:
    lifecycle = new_lifecycle("a", "b")
    lifecycle.on_request(Request("r", "read", time_left), NOW)
    pending = lifecycle.open_requests.by_id["r"]
    expected = min(READ.latency_objective, time_left - lifecycle.settings.clock_resolution)
    assert pending.deadline == pytest.approx(NOW + expected)


def test_request_of_an_unknown_class_is_not_sent() -> None:
    lifecycle = new_lifecycle("a", "b")
    actions = lifecycle.sender.actions.start_event()
    lifecycle.on_request(Request("r", "unknown", 2.0), NOW)
    assert actions == [Reject("r")]
    assert not lifecycle.open_requests.by_id


def test_accepted_request_adds_to_the_retry_budget() -> None:
    lifecycle = new_lifecycle("a", "b")
    lifecycle.retry_budget.tokens = 0.0
    start_request(lifecycle)
    assert lifecycle.retry_budget.tokens > 0


def test_miss_goes_to_the_origin_and_takes_no_retry() -> None:
    lifecycle = new_lifecycle("a", "b", "o")
    start_request(lifecycle)
    lifecycle.retry_budget.tokens = 0.0
    actions = lifecycle.sender.actions.start_event()
    lifecycle.on_attempt_completed(AttemptCompleted("r", 0, AttemptStatus.MISS, latency=0.01), NOW + 0.01)
    assert [action for action in actions if isinstance(action, Send)] == [Send("r", "o")]
    assert lifecycle.open_requests.by_id["r"].to_origin


@pytest.mark.parametrize("tokens", [1.0, 0.5])
def test_failed_attempt_is_retried_elsewhere_while_the_budget_lasts(tokens: float) -> None:
    lifecycle = new_lifecycle("a", "b")
    first = start_request(lifecycle)
    lifecycle.retry_budget.tokens = tokens
    actions = lifecycle.sender.actions.start_event()
    lifecycle.on_attempt_completed(AttemptCompleted("r", 0, AttemptStatus.RESET), NOW + 0.01)
    other = "b" if first == "a" else "a"
    expected = [Send("r", other)] if tokens >= 1 else [Reject("r")]
    assert [action for action in actions if not isinstance(action, SetTimer)] == expected


@pytest.mark.parametrize("cache_aside", [True, False])
def test_error_is_retried_only_where_the_router_fetches_from_the_origin(cache_aside: bool) -> None:
    """Where the caches fetch, most errors come from the origin, and each retry adds another fetch."""
    lifecycle = new_lifecycle("a", "b", cache_aside=cache_aside)
    other = "b" if start_request(lifecycle) == "a" else "a"
    actions = lifecycle.sender.actions.start_event()
    lifecycle.on_attempt_completed(AttemptCompleted("r", 0, AttemptStatus.ERROR), NOW + 0.01)
    expected = [Send("r", other)] if cache_aside else [Reject("r")]
    assert [action for action in actions if not isinstance(action, SetTimer)] == expected


def test_request_that_was_answered_ends_and_its_other_attempts_are_cancelled() -> None:
    lifecycle = new_lifecycle("a", "b")
    start_request(lifecycle)
    lifecycle.on_hedge_timer("r", NOW + 0.2)
    actions = lifecycle.sender.actions.start_event()
    lifecycle.on_attempt_completed(AttemptCompleted("r", 1, AttemptStatus.OK, latency=0.01), NOW + 0.21)
    assert actions == [Cancel("r", 0)]
    assert not lifecycle.open_requests.by_id
    assert list(lifecycle.sender.in_flight) == [("r", 0)]


def test_failed_attempt_waits_for_the_hedged_request_in_flight() -> None:
    lifecycle = new_lifecycle("a", "b")
    start_request(lifecycle)
    lifecycle.on_hedge_timer("r", NOW + 0.2)
    actions = lifecycle.sender.actions.start_event()
    lifecycle.on_attempt_completed(AttemptCompleted("r", 0, AttemptStatus.RESET), NOW + 0.21)
    assert actions == []
    assert lifecycle.open_requests.find("r") is not None


def test_completion_of_an_unknown_attempt_changes_nothing() -> None:
    lifecycle = new_lifecycle("a", "b")
    server = lifecycle.endpoints.servers[start_request(lifecycle)]
    actions = lifecycle.sender.actions.start_event()
    lifecycle.on_attempt_completed(AttemptCompleted("r", 5, AttemptStatus.OK), NOW + 0.01)
    assert actions == []
    assert server.concurrency.in_flight == 1


def test_client_that_disconnects_needs_no_answer() -> None:
    lifecycle = new_lifecycle("a", "b")
    start_request(lifecycle)
    actions = lifecycle.sender.actions.start_event()
    lifecycle.on_client_disconnected("r")
    lifecycle.on_client_disconnected("r")
    assert actions == [Cancel("r", 0)]


def test_waiting_request_is_sent_once_a_server_is_listed() -> None:
    lifecycle = new_lifecycle()
    lifecycle.on_request(Request("r", "read", 2.0), NOW)
    assert lifecycle.open_requests.by_id["r"].is_queued
    update = EndpointUpdate(EndpointUpdateKind.SNAPSHOT, tuple(fleet("a")))
    lifecycle.endpoints.apply(update)
    actions = lifecycle.sender.actions.start_event()
    lifecycle.on_endpoint_update(NOW + 0.1)
    assert actions == [Send("r", "a")]
    assert not lifecycle.open_requests.by_id["r"].is_queued


def test_shutdown_cuts_deadlines_and_the_timers_of_queued_requests() -> None:
    lifecycle = new_lifecycle()
    lifecycle.on_request(Request("r", "read", 2.0), NOW)
    actions = lifecycle.sender.actions.start_event()
    lifecycle.on_shutdown(0.3, NOW)
    expected = 0.3 - lifecycle.settings.clock_resolution
    (timer,) = actions
    assert isinstance(timer, SetTimer)
    assert timer.delay == pytest.approx(expected)
    assert lifecycle.open_requests.by_id["r"].deadline == pytest.approx(NOW + expected)


def test_write_that_may_have_executed_fails_instead_of_being_rejected() -> None:
    lifecycle = new_lifecycle("a", "o")
    assert start_request(lifecycle, "once", is_write=True) == "o"
    actions = lifecycle.sender.actions.start_event()
    lifecycle.on_attempt_completed(AttemptCompleted("r", 0, AttemptStatus.RESET), NOW + 0.01)
    assert Fail("r") in actions
