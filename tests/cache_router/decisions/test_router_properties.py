"""The rules that the driver checks hold under random valid sequences of events."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, Phase, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from cache_router.decisions.actions import Action, SetTimer
from cache_router.decisions.events import AttemptStatus, EndpointUpdate, EndpointUpdateKind, Event, TimerKind
from cache_router.decisions.pending_request import PendingRequest
from cache_router.decisions.retry_policy import RetryPolicy
from cache_router.decisions.router import Router
from cache_router.decisions.server import Server
from cache_router.endpoint import EndpointState
from cache_router.settings import Idempotency, IdempotencyScope, RequestClass, Settings
from tests.support.driver import Driver
from tests.support.router_inputs import entry, settings
from tests.support.router_scenarios import CACHE_ASIDE, fleet

# Kinds of events; one that is listed n times is drawn n times as often.
EVENTS = [
    *["request"] * 4,
    *["attempt completed"] * 5,
    *["time passes"] * 2,
    "endpoint update",
    "client disconnected",
]


class RandomDriver(Driver):
    """A driver that draws valid events from hypothesis."""

    def step(self, data: st.DataObject, n: int) -> None:
        """Draw one event for the router; `n` makes the name of a new request unique."""
        event = data.draw(st.sampled_from(EVENTS))
        in_flight = list(self.in_flight)
        if event == "request":
            names = sorted(self.settings.classes)
            self.request(
                f"r{n}",
                request_class=data.draw(st.sampled_from(names)),
                time_left=data.draw(st.sampled_from([0.0, 0.01, 0.8, 2.0])),
                key=data.draw(st.sampled_from([None, "k1", "k2", "k3"])),
                is_write=data.draw(st.booleans()),
                cost_hint=data.draw(st.sampled_from([None, 0.0, 0.2])),
            )
        elif event == "attempt completed" and in_flight:
            name, number = data.draw(st.sampled_from(in_flight))
            self.complete_attempt(name, data.draw(st.sampled_from(list(AttemptStatus))), number)
        elif event == "time passes":
            self.advance(data.draw(st.sampled_from([0.0, 0.05, 0.4, 1.0])))
        elif event == "endpoint update":
            self.random_endpoint_update(data)
        elif event == "client disconnected" and self.open_requests:
            name = data.draw(st.sampled_from(sorted(self.open_requests)))
            self.disconnect(name)

    def random_endpoint_update(self, data: st.DataObject) -> None:
        """Draw an endpoint update, or the failure of a poll of discovery."""
        kind = data.draw(st.sampled_from(list(EndpointUpdateKind)))
        names = data.draw(st.lists(st.sampled_from("abcdo"), unique=True))
        states = st.sampled_from(
            [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED]
        )
        start_times = st.sampled_from([0.0, self.now])
        endpoints = [
            entry(
                n,
                state=data.draw(states),
                kind="origin" if n == "o" else "std",
                started_at=data.draw(start_times),
            )
            for n in names
        ]
        if kind is EndpointUpdateKind.FAILED:
            self.handle(EndpointUpdate(kind))
        else:
            self.update_endpoints(*endpoints, kind=kind)


def request_classes(scope: IdempotencyScope) -> dict[str, RequestClass]:
    """Return a class for each kind of idempotency, and one with a short latency objective."""
    keyed = RequestClass(
        "keyed", 1.0, Idempotency.WITH_KEY, scope, idempotency_window=0.5, priority_weight=5.0
    )
    once = RequestClass("once", 1.0, Idempotency.NOT_IDEMPOTENT, priority_weight=5.0)
    late = RequestClass("late", 0.5)
    return {c.name: c for c in (RequestClass("read", 1.0), keyed, once, late)}


def run_random_events(data: st.DataObject, make: type[Router] = Router) -> None:
    """Drive a router of random settings with random events until every request must have ended."""
    random_settings = settings(
        classes=request_classes(data.draw(st.sampled_from(list(IdempotencyScope)))),
        hedging_allowed=data.draw(st.booleans()),
        cancellation_allowed=data.draw(st.booleans()),
        max_attempts=data.draw(st.sampled_from([1, 3, 6])),
        must_subscribe=data.draw(st.booleans()),
        **(CACHE_ASIDE if data.draw(st.booleans()) else {}),
    )
    driver = RandomDriver(random_settings, make=make)
    driver.update_endpoints(*fleet("a", "b", "c", "d", "o"), kind=EndpointUpdateKind.CACHED)
    for n in range(data.draw(st.integers(5, 40))):
        driver.step(data, n)
    driver.advance(10.0)
    assert not driver.open_requests, "rule 1: a request without an answer"
    assert not driver.router.pending, "the router still has a request that has ended"


RANDOM_EXAMPLES = hypothesis_settings(
    derandomize=True,
    max_examples=150,
    deadline=None,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


@RANDOM_EXAMPLES
@given(st.data())
def test_rules_hold_under_random_events(data: st.DataObject) -> None:
    run_random_events(data)


class PermissivePolicy(RetryPolicy):
    """A deliberate fault: permits every request to be sent again or rejected."""

    def permits_attempt(self, pending: PendingRequest, server: Server, now: float) -> bool:
        """Permit every attempt."""
        return True

    def permits_rejection(self, pending: PendingRequest) -> bool:
        """Permit every rejection."""
        return True


class UnrestrictedRetryRouter(Router):
    """A deliberate fault: retries and rejects requests of every class."""

    def __init__(self, conf: Settings, seed: int, now: float) -> None:
        """Replace the retry policy in every part of the router that uses it."""
        super().__init__(conf, seed, now)
        policy = PermissivePolicy(conf)
        for part in (self.selector, self.hedging, self.requests, self.open_requests, self.origin_scheduler):
            part.retry_policy = policy


def is_queue_timer(action: Action) -> bool:
    """Return whether an action sets the deadline timer of a queued request."""
    return isinstance(action, SetTimer) and action.timer.kind is TimerKind.QUEUE_DEADLINE


class TimerlessRouter(Router):
    """A deliberate fault: sets no deadline timers for queued requests."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle an event, but omit the deadline timers of queued requests."""
        return [action for action in super().handle(now, event) if not is_queue_timer(action)]


@pytest.mark.parametrize("broken", [UnrestrictedRetryRouter, TimerlessRouter])
def test_random_events_reveal_a_broken_router(broken: type[Router]) -> None:
    @RANDOM_EXAMPLES
    @given(st.data())
    def run_broken_router(data: st.DataObject) -> None:
        run_random_events(data, broken)

    with pytest.raises(AssertionError):
        run_broken_router()
