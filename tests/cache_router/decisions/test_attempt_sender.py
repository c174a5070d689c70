"""Attempts in flight: the state recorded when one is sent, and the timer of its hedged request."""

from __future__ import annotations

import pytest

from cache_router.decisions.actions import Send, SetTimer
from cache_router.decisions.attempt_sender import CACHE_LATENCY_TARGET, ORIGIN_LATENCY_TARGET, AttemptSender
from cache_router.decisions.events import AttemptStatus, Request, Timer, TimerKind
from cache_router.decisions.hedging import HEDGE_DELAY_FACTOR
from cache_router.decisions.pending_request import PendingRequest
from cache_router.decisions.router import Router
from cache_router.settings import RequestClass
from tests.support.router_inputs import ONCE, READ
from tests.support.router_scenarios import CACHE_ASIDE, started_router

NOW = 100.0


@pytest.fixture
def router() -> Router:
    """A router with the caches "a" and "b" and the origin "o"."""
    return started_router("a", "b", "o", now=NOW, **CACHE_ASIDE)


@pytest.fixture
def sender(router: Router) -> AttemptSender:
    """The part of the router that sends attempts."""
    return router.sender


def new_pending_request(request_class: RequestClass = READ) -> PendingRequest:
    """Return a request "r" with a deadline of one second."""
    return PendingRequest(
        Request("r", request_class.name, 1.0), request_class, deadline=NOW + 1.0, to_origin=False
    )


def test_attempts_are_in_flight_until_they_complete(router: Router, sender: AttemptSender) -> None:
    pending = new_pending_request()
    actions = sender.actions.start_event()
    for name in ("a", "b"):
        sender.send(pending, router.endpoints.servers[name], NOW)
    assert actions == [Send("r", "a"), Send("r", "b")]
    assert sender.in_flight == {("r", 0): pending.attempts[0], ("r", 1): pending.attempts[1]}
    assert router.endpoints.servers["a"].concurrency.in_flight == 1
    assert sender.complete("r", 0, AttemptStatus.REJECTED) is pending.attempts[0]
    assert list(sender.in_flight) == [("r", 1)]
    assert not pending.attempts[0].is_open
    assert not pending.attempts[0].may_have_executed


def test_attempt_completes_only_once(router: Router, sender: AttemptSender) -> None:
    sender.send(new_pending_request(), router.endpoints.servers["a"], NOW)
    assert sender.complete("r", 0, AttemptStatus.OK) is not None
    assert sender.complete("r", 0, AttemptStatus.OK) is None
    assert sender.complete("unknown", 0, AttemptStatus.OK) is None


@pytest.mark.parametrize(("server", "share"), [("a", CACHE_LATENCY_TARGET), ("o", ORIGIN_LATENCY_TARGET)])
def test_target_latency_is_a_share_of_the_latency_objective(
    router: Router, sender: AttemptSender, server: str, share: float
) -> None:
    pending = new_pending_request(RequestClass("read", latency_objective=0.8))
    sender.send(pending, router.endpoints.servers[server], NOW)
    assert pending.attempts[0].target_latency == pytest.approx(share * 0.8)
    assert pending.attempts[0].sent_at == NOW


def test_hedge_timer_follows_the_send_of_an_idempotent_read(router: Router, sender: AttemptSender) -> None:
    for name in "ab":
        router.endpoints.servers[name].concurrency.latency = 0.01
    actions = sender.actions.start_event()
    sender.send(new_pending_request(), router.endpoints.servers["a"], NOW)
    send, timer = actions
    assert send == Send("r", "a")
    assert isinstance(timer, SetTimer)
    assert timer.timer == Timer(TimerKind.HEDGE, "r")
    assert timer.delay == pytest.approx(HEDGE_DELAY_FACTOR * 0.01)
    actions = sender.actions.start_event()
    sender.send(new_pending_request(ONCE), router.endpoints.servers["b"], NOW)
    assert actions == [Send("r", "b")]


def test_hedged_request_is_sent_only_while_the_last_attempt_is_unanswered(
    router: Router, sender: AttemptSender
) -> None:
    pending = new_pending_request()
    sender.send(pending, router.endpoints.servers["a"], NOW)
    sender.send_hedge(pending, NOW + 0.2)
    assert len(pending.attempts) == 2
    sender.complete("r", 1, AttemptStatus.RESET)
    sender.send_hedge(pending, NOW + 0.3)
    assert len(pending.attempts) == 2
