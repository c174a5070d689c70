"""A driver that gives events to one router on a simulated clock, and checks the rules for its actions."""

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
    """A timer, or the timeout of an attempt, that is due later.

    Of several that are due at the same time, timers come first.
    """

    time: float
    request_name: str  # empty for a timer
    timer_token: str  # empty for a timeout
    attempt_number: int | None  # None for a timer


class Driver:
    """A router with a simulated clock, and a record of what its clients and servers observe.

    The test names the requests. Times are in seconds on the driver's clock. Every method that gives an event
    to the router raises AssertionError when an action violates a rule of `RouterRules`.

    Attributes:
        now: the current time.
        rules: the rules, with the records against which they are checked.
        timers: the time and the token of each timer that has not fired.
        last_actions: the router's actions in response to the last event.
    """

    def __init__(self, settings: Settings, seed: int = 1, make: type[Router] = Router) -> None:
        """Start a router of class `make` at `START_TIME`."""
        self.settings = settings
        self.now = START_TIME
        self.router = make(settings, seed, self.now)
        self.rules = RouterRules(settings)
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
        """Return how a request ended, or None while it is open."""
        return self.requests[name].outcome

    def servers_tried(self, name: str) -> list[str]:
        """Return the server of each attempt of a request, in the order sent."""
        return self.requests[name].servers_tried

    def has_attempt_in_flight(self, name: str) -> bool:
        """Return whether the last attempt of a request is in flight."""
        attempts = self.requests[name].attempts
        return bool(attempts) and attempts[-1].is_in_flight

    def server(self, name: str) -> Server:
        """Return the router's state of a listed server."""
        return self.router.endpoints.servers[name]

    def handle(self, event: Event) -> list[Action]:
        """Give the router one event; check and return its actions."""
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
        """Give the router a request; return the server of its first attempt, or None when none was sent.

        Args:
            name: the name of the request, different from those of all earlier requests.
            finish: whether the first attempt completes at once with status OK.
            fields: fields of the event; by default, the class is "read" and 2 s are left.
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
        """Complete an attempt, by default the last one of the request.

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
        """Complete the last attempt of a request with status OK."""
        self.complete_attempt(name, AttemptStatus.OK)

    def disconnect(self, name: str) -> list[Action]:
        """Disconnect the client of an open request, and return the router's actions."""
        self.rules.record_outcome(name, Outcome.CLIENT_DISCONNECTED)
        return self.handle(ClientDisconnected(name))

    def advance(self, seconds: float) -> None:
        """Advance the clock; run the timers and timeouts in the order in which they are due."""
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
        """Remove a timer from `timers`, and notify the router that it has fired."""
        self.timers.remove((due.time, due.timer_token))
        timer = read_timer(due.timer_token)
        assert timer is not None, f"not a timer token of the router: {due.timer_token}"
        self.handle(TimerFired(timer))

    def next_due_event(self) -> DueEvent | None:
        """Return the timer or timeout that is due next, or None when none is set."""
        due = [DueEvent(at, "", token, None) for at, token in self.timers]
        due += [
            DueEvent(attempt.timeout_at, name, "", number)
            for (name, number), attempt in self.in_flight.items()
        ]
        return min(due, key=lambda event: event[:3], default=None)


class DriverFactory(Protocol):
    """Creates drivers of routers with a given endpoint list."""

    def __call__(self, *endpoints: Endpoint, seed: int = 1, **changes: Any) -> Driver:
        """Create a driver; its router receives `endpoints`, if any are given, as its first endpoint list.

        `changes` replace fields of the settings that `router_inputs.settings` returns.
        """
