"""Drives one router by hand, and checks with each action the rules that every router has to keep.

Rule 1: each request gets exactly one final answer, before its client's timeout.
Rule 2: a request that is not idempotent is never executed twice.
Rule 3: nothing is sent to a server that is draining, removed or unknown.
"""

from __future__ import annotations

from dataclasses import replace
from enum import Enum
from typing import Any, NamedTuple, Protocol

from cache_router.decisions.actions import Action, Cancel, Fail, Reject, Send, SetTimer
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
from cache_router.endpoint import Endpoint, EndpointState
from cache_router.settings import Idempotency, IdempotencyScope, Settings
from cache_router.simulator_wire import read_timer, write_timer

NOT_EXECUTED = {
    AttemptStatus.REJECTED,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.NOT_SENT,
    AttemptStatus.MISS,
}
MAX_TIMER_DELAY = 4260  # seconds that the wire can carry
MAX_TIMER_TOKEN = 64  # characters that the wire can carry
LATE_ANSWER_TOLERANCE = 0.02  # seconds
TIMEOUT_LATENCY = 1.0  # seconds reported for an attempt that timed out


class Outcome(Enum):
    """How a request ended for its client."""

    SERVED = "served"
    FAILED = "failed"
    REJECTED = "rejected"
    CLIENT_DISCONNECTED = "client disconnected"


def share_idempotency_keys(scope: IdempotencyScope, one: Endpoint, other: Endpoint) -> bool:
    """Whether both servers drop repeats of each other's idempotency keys."""
    if scope is IdempotencyScope.ALL:
        return True
    if scope is IdempotencyScope.ZONE:
        return one.zone == other.zone
    return one.cell == other.cell


class DueEvent(NamedTuple):
    """A timer, or the timeout of an attempt, that has not come yet; at one time timers come first."""

    time: float
    request_name: str  # empty for a timer
    timer_token: str  # empty for a timeout
    attempt_number: int | None


class Driver:
    """A router with a clock, and what a client, the servers and the rules would see of it.

    Requests are named by the test. Times are in seconds on the driver's clock.
    """

    def __init__(self, conf: Settings, seed: int = 1, make: type[Router] = Router) -> None:
        """Start a router of class `make` at 100 s on the driver's clock."""
        self.settings = conf
        self.now = 100.0
        self.router = make(conf, seed, self.now)
        self.open_requests: dict[str, Request] = {}
        self.deadlines: dict[str, float] = {}
        self.outcomes: dict[str, Outcome] = {}
        self.servers_tried: dict[str, list[str]] = {}
        self.sent_at: dict[str, list[float]] = {}
        self.attempt_statuses: dict[tuple[str, int], AttemptStatus | None] = {}  # None while in flight
        self.attempt_deadlines: dict[tuple[str, int], float] = {}
        self.timers: list[tuple[float, str]] = []
        self.listed_endpoints: dict[str, Endpoint] = {}
        self.last_actions: list[Action] = []

    def server(self, name: str) -> Server:
        """What the router keeps of a listed server."""
        return self.router.endpoints.servers[name]

    def handle(self, event: Event) -> list[Action]:
        """Feed the router one event and check every action that it answers."""
        self.last_actions = self.router.handle(self.now, event)
        for action in self.last_actions:
            self.check_action(action)
        return self.last_actions

    def check_action(self, action: Action) -> None:
        """Check the rules for one action and record what it does."""
        if isinstance(action, SetTimer):
            token = write_timer(action.timer)
            assert 0 <= action.delay < MAX_TIMER_DELAY
            assert 1 <= len(token) <= MAX_TIMER_TOKEN
            self.timers.append((self.now + action.delay, token))
        elif isinstance(action, Cancel):
            attempt = action.request_id, action.attempt_number
            assert attempt in self.attempt_statuses, "cancels an attempt never made"
        elif isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, Reject):
            self.check_rejection(action.request_id)
            self.record_outcome(action.request_id, Outcome.REJECTED)
        elif isinstance(action, Fail):
            self.record_outcome(action.request_id, Outcome.FAILED)

    def check_send(self, action: Send) -> None:
        """Check the rules for one attempt and record it as in flight."""
        name = action.request_id
        assert name in self.open_requests, f"rule 1: sends for {name}, which is ended or unknown"
        target = self.listed_endpoints.get(action.server)
        assert target is not None, "rule 3: sends to a server that is not listed"
        assert target.state is EndpointState.READY, "rule 3: sends to a drained server"
        attempt_number = len(self.servers_tried.setdefault(name, []))
        assert attempt_number < self.settings.max_attempts, "more attempts than allowed"
        executed = self.attempts_maybe_executed(name)
        in_flight = [i for i in executed if self.attempt_statuses[name, i] is None]
        assert self.settings.hedging_allowed or not in_flight, "rule 2: two attempts in flight at once"
        if executed:
            self.check_repeat(name, target, executed)
        timeout_at = self.deadlines[name]
        if action.timeout is not None:
            timeout_at = min(timeout_at, self.now + action.timeout)
        self.attempt_statuses[name, attempt_number] = None
        self.attempt_deadlines[name, attempt_number] = timeout_at
        self.servers_tried[name].append(action.server)
        self.sent_at.setdefault(name, []).append(self.now)

    def check_repeat(self, name: str, target: Endpoint, executed: list[int]) -> None:
        """Check that a request that may have been executed is safe to execute again."""
        request_class = self.settings.classes[self.open_requests[name].request_class]
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            return
        assert request_class.idempotency is Idempotency.WITH_KEY, (
            "rule 2: a request that is not idempotent sent again"
        )
        first_sent_at = min(self.sent_at[name][i] for i in executed)
        assert self.now <= first_sent_at + request_class.idempotency_window, (
            "rule 2: a request sent again after its idempotency window"
        )
        scope = request_class.idempotency_scope
        for i in executed:
            earlier = self.listed_endpoints.get(self.servers_tried[name][i])
            is_recognised = scope is IdempotencyScope.ALL or (
                earlier is not None and share_idempotency_keys(scope, earlier, target)
            )
            assert is_recognised, "rule 2: a request sent again outside its idempotency scope"

    def check_rejection(self, name: str) -> None:
        """Check that the client of a rejected request may safely send it again."""
        assert name in self.open_requests, "rule 1: a second answer"
        request_class = self.settings.classes[self.open_requests[name].request_class]
        if self.attempts_maybe_executed(name) and request_class.idempotency is not Idempotency.IDEMPOTENT:
            is_harmless = (
                request_class.idempotency is Idempotency.WITH_KEY
                and request_class.idempotency_scope is IdempotencyScope.ALL
            )
            assert is_harmless, "rule 2: a rejection of what may have been executed"

    def attempts_maybe_executed(self, name: str) -> list[int]:
        """Numbers of the attempts that a server has executed or may yet execute."""
        attempts = range(len(self.servers_tried.get(name, [])))
        return [i for i in attempts if self.attempt_statuses[name, i] not in NOT_EXECUTED]

    def has_attempt_in_flight(self, name: str) -> bool:
        """Whether the last attempt of a request has not ended."""
        last = len(self.servers_tried.get(name, [])) - 1
        return last >= 0 and self.attempt_statuses[name, last] is None

    def record_outcome(self, name: str, outcome: Outcome) -> None:
        """End a request for its client."""
        assert name in self.open_requests, "rule 1: a second answer"
        del self.open_requests[name]
        self.outcomes[name] = outcome

    def update_endpoints(
        self, *endpoints: Endpoint, kind: EndpointUpdateKind = EndpointUpdateKind.SNAPSHOT
    ) -> list[Action]:
        """An endpoint update comes; returns the router's actions."""
        if kind in (EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.CACHED):
            for name, endpoint in self.listed_endpoints.items():
                self.listed_endpoints[name] = replace(endpoint, state=EndpointState.REMOVED)
        self.listed_endpoints.update({endpoint.name: endpoint for endpoint in endpoints})
        return self.handle(EndpointUpdate(kind, endpoints))

    def request(self, name: str, finish: bool = False, **fields: Any) -> str | None:
        """A request arrives; returns the server of its first attempt, or None when none was sent.

        With `finish` the attempt is answered at once.
        """
        fields.setdefault("request_class", "read")
        fields.setdefault("time_left", 2.0)
        event = Request(name, **fields)
        self.open_requests[name] = event
        self.deadlines[name] = self.now + event.time_left
        self.handle(event)
        server = self.servers_tried.get(name, [None])[0]
        if finish:
            self.serve(name)
        return server

    def complete_attempt(
        self, name: str, status: AttemptStatus, attempt: int | None = None, latency: float = 0.05
    ) -> str | None:
        """An attempt ends, the last one if none is given; returns the server of the next, if one was sent."""
        count = len(self.servers_tried[name])
        number = count - 1 if attempt is None else attempt
        assert self.attempt_statuses[name, number] is None
        self.attempt_statuses[name, number] = status
        is_final = status is AttemptStatus.OK or name not in self.open_requests
        if is_final and name in self.open_requests:
            self.record_outcome(name, Outcome.SERVED)
        self.handle(AttemptCompleted(name, number, status, is_final, latency))
        return self.servers_tried[name][-1] if len(self.servers_tried[name]) > count else None

    def serve(self, name: str) -> None:
        """The last attempt of a request is answered with its value."""
        self.complete_attempt(name, AttemptStatus.OK)

    def disconnect(self, name: str) -> list[Action]:
        """The client of an open request disconnects; returns the router's actions."""
        self.record_outcome(name, Outcome.CLIENT_DISCONNECTED)
        return self.handle(ClientDisconnected(name))

    def advance(self, seconds: float) -> None:
        """Let time pass, with timers and timeouts in their order."""
        end = self.now + seconds
        while (due := self.next_due_event()) is not None and due.time <= end:
            self.now = max(self.now, due.time)
            if due.request_name:
                name, attempt = due.request_name, due.attempt_number
                self.complete_attempt(name, AttemptStatus.TIMEOUT, attempt, TIMEOUT_LATENCY)
            else:
                self.timers.remove((due.time, due.timer_token))
                timer = read_timer(due.timer_token)
                assert timer is not None
                self.handle(TimerFired(timer))
            self.check_deadlines()
        self.now = end
        self.check_deadlines()

    def next_due_event(self) -> DueEvent | None:
        """The next timer or timeout; None when none is set."""
        due = [DueEvent(at, "", token, None) for at, token in self.timers]
        due += [
            DueEvent(at, name, "", number)
            for (name, number), at in self.attempt_deadlines.items()
            if self.attempt_statuses[name, number] is None
        ]
        return min(due, key=lambda event: event[:3], default=None)

    def check_deadlines(self) -> None:
        """Check that no request is open beyond the time that its client allows."""
        late = [n for n in self.open_requests if self.now > self.deadlines[n] + LATE_ANSWER_TOLERANCE]
        assert not late, f"rule 1: no answer in time for {late}"


class DriverFactory(Protocol):
    """Makes drivers of routers that know a fleet."""

    def __call__(self, *endpoints: Endpoint, seed: int = 1, **changes: Any) -> Driver:
        """Make a driver; its router receives `endpoints`, if there are any, as its first endpoint list.

        `changes` are made to the settings that `settings` returns.
        """
