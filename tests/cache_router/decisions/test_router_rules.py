"""The checks of the driver's rules: each rule is reported as broken when an action breaks it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cache_router.decisions.actions import Action, Cancel, Fail, Reject, Send, SetTimer
from cache_router.decisions.events import (
    AttemptStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    Request,
    Timer,
    TimerKind,
)
from cache_router.endpoint import EndpointState
from cache_router.settings import IdempotencyScope, Settings
from tests.support.router_inputs import KEYED, READ, entry, settings
from tests.support.router_rules import MAX_TIMER_DELAY, MAX_TIMER_TOKEN, Outcome, RouterRules
from tests.support.router_scenarios import fleet

NOW = 100.0
ZONE_KEYED = replace(KEYED, name="zone", idempotency_scope=IdempotencyScope.ZONE)
EXECUTION_RULED_OUT = {
    AttemptStatus.REJECTED,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.NOT_SENT,
    AttemptStatus.MISS,
}
SETTINGS = settings(classes={**settings().classes, "zone": ZONE_KEYED})


def rules_with_request(request_class: str = "read", conf: Settings = SETTINGS) -> RouterRules:
    """Return rules with servers "a" to "d" in two zones, a draining server "x" and an open request "r"."""
    rules = RouterRules(conf)
    endpoints = (*fleet("a", "b", "c", "d"), entry("x", state=EndpointState.DRAINING))
    rules.record_endpoint_update(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, endpoints))
    rules.record_request(Request("r", request_class, 2.0), NOW)
    return rules


def lose_first_attempt(rules: RouterRules) -> None:
    """Send the request to "a", and lose the response."""
    rules.check_action(Send("r", "a"), NOW)
    rules.record_completion("r", 0, AttemptStatus.RESET)


@pytest.mark.parametrize(
    ("action", "message"),
    [
        (Send("unknown", "a"), "rule 1: sends for unknown"),
        (Reject("unknown"), "rule 1: a second answer to unknown"),
        (Fail("unknown"), "rule 1: a second answer to unknown"),
        (Send("r", "unlisted"), "rule 3: sends to unlisted"),
        (Send("r", "x"), "rule 3: sends to x"),
        (Cancel("r", 0), "cancels an attempt that was never sent"),
        (SetTimer(-0.1, Timer(TimerKind.HEDGE, "r")), "SetTimer"),
        (SetTimer(MAX_TIMER_DELAY, Timer(TimerKind.HEDGE, "r")), "SetTimer"),
        (SetTimer(0.1, Timer(TimerKind.HEDGE, "r" * MAX_TIMER_TOKEN)), "SetTimer"),
    ],
    ids=[
        "attempt of an unknown request",
        "rejection of an unknown request",
        "failure of an unknown request",
        "attempt at an unlisted server",
        "attempt at a draining server",
        "cancellation of no attempt",
        "timer in the past",
        "timer too late for the wire",
        "timer too long for the wire",
    ],
)
def test_action_that_no_request_permits_breaks_a_rule(action: Action, message: str) -> None:
    with pytest.raises(AssertionError, match=message):
        rules_with_request().check_action(action, NOW)


@pytest.mark.parametrize("second", [Send("r", "b"), Reject("r"), Fail("r")])
def test_answered_request_is_neither_sent_nor_answered_again(second: Action) -> None:
    rules = rules_with_request()
    rules.check_action(Reject("r"), NOW)
    assert rules.requests["r"].outcome is Outcome.REJECTED
    with pytest.raises(AssertionError, match="rule 1"):
        rules.check_action(second, NOW)


def test_request_must_be_answered_before_the_timeout_of_its_client() -> None:
    rules = rules_with_request()
    rules.check_deadlines(NOW + 2.0)
    with pytest.raises(AssertionError, match="rule 1: no answer in time for"):
        rules.check_deadlines(NOW + 2.1)


def test_server_that_a_complete_list_does_not_name_is_sent_nothing() -> None:
    rules = rules_with_request()
    rules.record_endpoint_update(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, tuple(fleet("a"))))
    rules.check_action(Send("r", "a"), NOW)
    rules.record_completion("r", 0, AttemptStatus.RESET)
    with pytest.raises(AssertionError, match="rule 3: sends to b"):
        rules.check_action(Send("r", "b"), NOW)


@pytest.mark.parametrize(
    ("request_class", "server", "seconds", "is_permitted"),
    [
        ("read", "b", 1.9, True),
        ("once", "b", 0.1, False),
        ("keyed", "b", 1.5, True),
        ("keyed", "b", 1.6, False),
        ("zone", "c", 0.1, True),
        ("zone", "b", 0.1, False),
    ],
)
def test_request_that_may_have_executed_is_repeated_only_where_its_class_permits_it(
    request_class: str, server: str, seconds: float, is_permitted: bool
) -> None:
    """The idempotency window is 1.5 s; "a" and "c" are in the same zone."""
    rules = rules_with_request(request_class)
    lose_first_attempt(rules)
    if is_permitted:
        rules.check_action(Send("r", server), NOW + seconds)
        assert rules.requests["r"].servers_tried == ["a", server]
    else:
        with pytest.raises(AssertionError, match="rule 2"):
            rules.check_action(Send("r", server), NOW + seconds)


@pytest.mark.parametrize("status", AttemptStatus)
def test_non_idempotent_request_is_repeated_only_after_an_attempt_that_was_not_executed(
    status: AttemptStatus,
) -> None:
    rules = rules_with_request("once")
    rules.check_action(Send("r", "a"), NOW)
    rules.record_completion("r", 0, status)
    if status in EXECUTION_RULED_OUT:
        rules.check_action(Send("r", "b"), NOW)
        assert rules.requests["r"].servers_tried == ["a", "b"]
    else:
        with pytest.raises(AssertionError, match="rule 2"):
            rules.check_action(Send("r", "b"), NOW)


@pytest.mark.parametrize(
    ("request_class", "is_permitted"), [("read", True), ("keyed", True), ("zone", False), ("once", False)]
)
def test_rejection_must_be_safe_for_a_client_that_sends_again(request_class: str, is_permitted: bool) -> None:
    rules = rules_with_request(request_class)
    lose_first_attempt(rules)
    if is_permitted:
        rules.check_action(Reject("r"), NOW)
        assert not rules.open_requests
    else:
        with pytest.raises(AssertionError, match="rule 2: rejects r"):
            rules.check_action(Reject("r"), NOW)


def test_attempts_are_not_hedged_where_the_settings_forbid_it() -> None:
    rules = rules_with_request(conf=settings(hedging_allowed=False))
    rules.check_action(Send("r", "a"), NOW)
    with pytest.raises(AssertionError, match="rule 2: two attempts of r in flight"):
        rules.check_action(Send("r", "b"), NOW)


def test_attempts_are_no_more_than_the_settings_permit() -> None:
    rules = rules_with_request(conf=settings(max_attempts=1, classes={"read": READ}))
    lose_first_attempt(rules)
    with pytest.raises(AssertionError, match="more attempts of r than allowed"):
        rules.check_action(Send("r", "b"), NOW)
