"""Drives one router by hand: gives it events on a clock of its own, and checks the rules for its actions."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from cache_router.decisions.actions import Action, SetTimer
from cache_router.decisions.events import (
    AttemptCompleted,
    AttemptStatus,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Request,
    TimerFired,
)
from cache_router.decisions.router import Router
from cache_router.decisions.server import Server
from cache_router.endpoint import Endpoint
from cache_router.settings import Settings
from cache_router.simulator_wire import read_timer, write_timer
from tests.support.router_rules import ObservedAttempt, ObservedRequest, Outcome, RouterRules

START_TIME = 100.0  # seconds on the driver's clock
TIMEOUT_LATENCY = 1.0  # seconds reported for an attempt that timed out


class DueEvent(NamedTuple):
    """A timer, or the timeout of an attempt, that is due later; of those at one time timers come first."""

    time: float
    request_name: str  # empty for a timer
    timer_token: str  # empty for a timeout
    attempt_number: int | None  # None for a timer


class Driver:
    """A router with a clock, and what its clients and servers see of it.

    Requests are named by the test. Times are in seconds on the driver's clock. Every method that gives the
    router an event raises AssertionError when an action breaks a rule of `RouterRules`.

    Attributes:
        now: the time.
        rules: the rules, with what was recorded to check them.
        timers: the time and the token of each timer that has not fired.
        last_actions: the router's actions on the last event.
    """

    def __init__(self, conf: Settings, seed: int = 1, make: type[Router] = Router) -> None:
        """Start a router of class `make` at `START_TIME`."""
        self.settings = conf
        self.now = START_TIME
        self.router = make(conf, seed, self.now)
        self.rules = RouterRules(conf)
        self.timers: list[tuple[float, str]] = []
        self.last_actions: list[Action] = []

    @property
    def requests(self) -> dict[str, ObservedRequest]:
        """Every request so far, by its name."""
        return self.rules.requests

    @property
    def open_requests(self) -> dict[str, ObservedRequest]:
        """The requests without a final answer, by their names."""
        return self.rules.open_requests

    @property
    def in_flight(self) -> dict[tuple[str, int], ObservedAttempt]:
        """The attempts that have not completed, by request name and attempt number."""
        return self.rules.in_flight

    def outcome(self, name: str) -> Outcome | None:
        """How a request ended; None while it is open."""
        return self.requests[name].outcome

    def servers_tried(self, name: str) -> list[str]:
        """The server of each attempt of a request, in the order sent."""
        return self.requests[name].servers_tried

    def has_attempt_in_flight(self, name: str) -> bool:
        """Whether the last attempt of a request has not completed."""
        attempts = self.requests[name].attempts
        return bool(attempts) and attempts[-1].is_in_flight

    def server(self, name: str) -> Server:
        """The router's state of a listed server."""
        return self.router.endpoints.servers[name]

    def handle(self, event: Event) -> list[Action]:
        """Give the router one event, and check and return its actions."""
        self.last_actions = self.router.handle(self.now, event)
        for action in self.last_actions:
            self.check_action(action)
        return self.last_actions

    def check_action(self, action: Action) -> None:
        """Check the rules for one action, and start the timer that it sets."""
        self.rules.check_action(action, self.now)
        if isinstance(action, SetTimer):
            self.timers.append((self.now + action.delay, write_timer(action.timer)))

    def update_endpoints(
        self, *endpoints: Endpoint, kind: EndpointUpdateKind = EndpointUpdateKind.SNAPSHOT
    ) -> list[Action]:
        """Give the router an endpoint update, and return its actions."""
        update = EndpointUpdate(kind, endpoints)
        self.rules.record_endpoint_update(update)
        return self.handle(update)

    def request(self, name: str, finish: bool = False, **fields: Any) -> str | None:
        """Give the router a request; returns the server of its first attempt, or None when none was sent.

        Args:
            name: the name of the request, which no earlier request has.
            finish: whether the attempt is answered at once.
            fields: fields of the event; without them its class is "read", with 2 s left.
        """
        fields.setdefault("request_class", "read")
        fields.setdefault("time_left", 2.0)
        request = Request(name, **fields)
        self.rules.record_request(request, self.now)
        self.handle(request)
        servers = self.servers_tried(name)
        if finish:
            self.serve(name)
        return servers[0] if servers else None

    def complete_attempt(
        self, name: str, status: AttemptStatus, number: int | None = None, latency: float = 0.05
    ) -> str | None:
        """Complete an attempt, the last one if no number is given.

        Returns:
            The server of the next attempt, or None when none was sent.
        """
        attempts = self.requests[name].attempts
        attempt_count = len(attempts)
        if number is None:
            number = attempt_count - 1
        self.rules.record_completion(name, number, status)
        is_final = status is AttemptStatus.OK or name not in self.open_requests
        if is_final and name in self.open_requests:
            self.rules.record_outcome(name, Outcome.SERVED)
        self.handle(AttemptCompleted(name, number, status, is_final, latency))
        return attempts[-1].server if len(attempts) > attempt_count else None

    def serve(self, name: str) -> None:
        """Answer the last attempt of a request with its value."""
        self.complete_attempt(name, AttemptStatus.OK)

    def disconnect(self, name: str) -> list[Action]:
        """Disconnect the client of an open request, and return the router's actions."""
        self.rules.record_outcome(name, Outcome.CLIENT_DISCONNECTED)
        return self.handle(ClientDisconnected(name))

    def advance(self, seconds: float) -> None:
        """Advance the clock, with timers and timeouts in the order in which they are due."""
        end = self.now + seconds
        while (due := self.next_due_event()) is not None and due.time <= end:
            self.now = max(self.now, due.time)
            if due.request_name:
                self.complete_attempt(
                    due.request_name, AttemptStatus.TIMEOUT, due.attempt_number, TIMEOUT_LATENCY
                )
            else:
                self.fire_timer(due)
            self.rules.check_deadlines(self.now)
        self.now = end
        self.rules.check_deadlines(self.now)

    def fire_timer(self, due: DueEvent) -> None:
        """Remove a timer and give it to the router."""
        self.timers.remove((due.time, due.timer_token))
        timer = read_timer(due.timer_token)
        assert timer is not None, f"no timer of the router: {due.timer_token}"
        self.handle(TimerFired(timer))

    def next_due_event(self) -> DueEvent | None:
        """The next timer or timeout; None when none is set."""
        due = [DueEvent(at, "", token, None) for at, token in self.timers]
        due += [
            DueEvent(attempt.timeout_at, name, "", number)
            for (name, number), attempt in self.in_flight.items()
        ]
        return min(due, key=lambda event: event[:3], default=None)


class DriverFactory(Protocol):
    """Makes drivers of routers that know a fleet."""

    def __call__(self, *endpoints: Endpoint, seed: int = 1, **changes: Any) -> Driver:
        """Make a driver; its router receives `endpoints`, if there are any, as its first endpoint list.

        `changes` are made to the settings that `settings` returns.
        """
