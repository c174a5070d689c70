"""The rules that every router must follow, checked against what its clients and servers observe.

Rule 1: each request gets exactly one final answer, before its client's timeout.
Rule 2: a request that is not idempotent is never executed twice.
Rule 3: nothing is sent to a server that is draining, removed or unknown.

A violation raises an AssertionError that names the rule. Times are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum

from cache_router.decisions.actions import Action, Cancel, Fail, Reject, Send, SetTimer
from cache_router.decisions.events import AttemptStatus, EndpointUpdate, EndpointUpdateKind, Request
from cache_router.endpoint import Endpoint, EndpointState
from cache_router.settings import Idempotency, IdempotencyScope, RequestClass, Settings
from cache_router.simulator_wire import write_timer

# Statuses of attempts whose request the server has not executed
NOT_EXECUTED = {
    AttemptStatus.REJECTED,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.NOT_SENT,
    AttemptStatus.MISS,
}
# Limits of a timer in the simulator's messages
MAX_TIMER_DELAY = 4260  # seconds
MAX_TIMER_TOKEN = 64  # characters
LATE_ANSWER_TOLERANCE = 0.02  # seconds after the deadline at which a request may still be open


class Outcome(Enum):
    """The end of a request, as its client observes it."""

    SERVED = "served"
    FAILED = "failed"
    REJECTED = "rejected"
    CLIENT_DISCONNECTED = "client disconnected"


@dataclass
class ObservedAttempt:
    """An attempt, as its server observes it."""

    endpoint: Endpoint  # the entry of its server when the attempt was sent
    sent_at: float
    timeout_at: float
    status: AttemptStatus | None = None  # None while in flight

    @property
    def server(self) -> str:
        """The name of its server."""
        return self.endpoint.name

    @property
    def is_in_flight(self) -> bool:
        """Whether the attempt has not completed."""
        return self.status is None

    @property
    def may_have_executed(self) -> bool:
        """Whether the server has executed the request, or may still execute it."""
        return self.status not in NOT_EXECUTED


@dataclass
class ObservedRequest:
    """A request, as its client observes it, and its attempts in the order sent."""

    request: Request
    deadline: float
    attempts: list[ObservedAttempt] = field(default_factory=list)
    outcome: Outcome | None = None  # None while open

    @property
    def servers_tried(self) -> list[str]:
        """The server of each attempt, in the order sent."""
        return [attempt.server for attempt in self.attempts]

    def attempts_maybe_executed(self) -> list[ObservedAttempt]:
        """Return the attempts that a server has executed or may still execute."""
        return [attempt for attempt in self.attempts if attempt.may_have_executed]


def share_idempotency_keys(scope: IdempotencyScope, one: Endpoint, other: Endpoint) -> bool:
    """Return whether two servers deduplicate requests by shared idempotency keys."""
    if scope is IdempotencyScope.ALL:
        return True
    if scope is IdempotencyScope.ZONE:
        return one.zone == other.zone
    return one.cell == other.cell


class RouterRules:
    """Records the requests, attempts and endpoints of one router, and checks each of its actions.

    Attributes:
        requests: every request by its name, including those that have ended.
        open_requests: the requests without a final answer.
        in_flight: the attempts that have not completed, by request name and attempt number.
        listed_endpoints: the latest entry of each server that an endpoint update has contained.
    """

    def __init__(self, settings: Settings) -> None:
        """Start without requests and endpoints; `settings` are the settings of the router."""
        self.settings = settings
        self.requests: dict[str, ObservedRequest] = {}
        self.open_requests: dict[str, ObservedRequest] = {}
        self.in_flight: dict[tuple[str, int], ObservedAttempt] = {}
        self.listed_endpoints: dict[str, Endpoint] = {}

    def record_request(self, request: Request, now: float) -> None:
        """Record the arrival of a request."""
        observed = ObservedRequest(request, deadline=now + request.time_left)
        self.requests[request.request_id] = self.open_requests[request.request_id] = observed

    def record_endpoint_update(self, update: EndpointUpdate) -> None:
        """Record an endpoint update; a complete list removes the servers that it does not contain."""
        if update.kind in (EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.CACHED):
            for name, endpoint in self.listed_endpoints.items():
                self.listed_endpoints[name] = replace(endpoint, state=EndpointState.REMOVED)
        self.listed_endpoints.update({endpoint.name: endpoint for endpoint in update.endpoints})

    def record_completion(self, name: str, number: int, status: AttemptStatus) -> None:
        """Record the end of an attempt in flight."""
        assert (name, number) in self.in_flight, f"attempt {number} of {name} is not in flight"
        self.in_flight.pop((name, number)).status = status

    def record_outcome(self, name: str, outcome: Outcome) -> None:
        """Record the end of a request."""
        assert name in self.open_requests, f"rule 1: a second answer to {name}"
        self.open_requests.pop(name).outcome = outcome

    def check_action(self, action: Action, now: float) -> None:
        """Check the rules for one action, and record its effect on a request."""
        if isinstance(action, SetTimer):
            self._check_timer(action)
        elif isinstance(action, Cancel):
            self._check_cancellation(action)
        elif isinstance(action, Send):
            self._check_send(action, now)
            self._record_attempt(action, now)
        elif isinstance(action, Reject):
            self._check_rejection(action.request_id)
            self.record_outcome(action.request_id, Outcome.REJECTED)
        elif isinstance(action, Fail):
            self.record_outcome(action.request_id, Outcome.FAILED)

    def check_deadlines(self, now: float) -> None:
        """Check that no request is open after its deadline."""
        late = [
            name
            for name, observed in self.open_requests.items()
            if now > observed.deadline + LATE_ANSWER_TOLERANCE
        ]
        assert not late, f"rule 1: no answer in time for {late}"

    def _check_timer(self, action: SetTimer) -> None:
        """Check that a timer is within the limits of the simulator's messages."""
        assert 0 <= action.delay < MAX_TIMER_DELAY, action
        assert 1 <= len(write_timer(action.timer)) <= MAX_TIMER_TOKEN, action

    def _check_cancellation(self, action: Cancel) -> None:
        """Check that the attempt to be cancelled was sent."""
        observed = self.requests.get(action.request_id)
        attempt_count = len(observed.attempts) if observed is not None else 0
        assert 0 <= action.attempt_number < attempt_count, f"cancels an attempt that was never sent: {action}"

    def _check_send(self, action: Send, now: float) -> None:
        """Check that an attempt may be sent."""
        name = action.request_id
        assert name in self.open_requests, f"rule 1: sends for {name}, which has ended or is unknown"
        target = self.listed_endpoints.get(action.server)
        assert target is not None, f"rule 3: sends to {action.server}, which is not listed"
        assert target.state is EndpointState.READY, f"rule 3: sends to {action.server}, which is not ready"
        observed = self.open_requests[name]
        assert len(observed.attempts) < self.settings.max_attempts, f"more attempts of {name} than allowed"
        executed = observed.attempts_maybe_executed()
        is_hedge = any(attempt.is_in_flight for attempt in executed)
        assert self.settings.hedging_allowed or not is_hedge, f"rule 2: two attempts of {name} in flight"
        if executed:
            self._check_repeat(observed, target, now)

    def _check_repeat(self, observed: ObservedRequest, target: Endpoint, now: float) -> None:
        """Check that a request that may have been executed can safely be executed again."""
        request_class = self._class_of(observed)
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            return
        name = observed.request.request_id
        assert request_class.idempotency is Idempotency.WITH_KEY, (
            f"rule 2: {name}, which is not idempotent, is sent again"
        )
        executed = observed.attempts_maybe_executed()
        first_sent_at = min(attempt.sent_at for attempt in executed)
        assert now <= first_sent_at + request_class.idempotency_window, (
            f"rule 2: {name} is sent again after its idempotency window"
        )
        scope = request_class.idempotency_scope
        for attempt in executed:
            is_in_scope = share_idempotency_keys(scope, attempt.endpoint, target)
            assert is_in_scope, f"rule 2: {name} is sent again outside its idempotency scope"

    def _record_attempt(self, action: Send, now: float) -> None:
        """Record an attempt as in flight."""
        observed = self.open_requests[action.request_id]
        timeout_at = observed.deadline
        if action.timeout is not None:
            timeout_at = min(timeout_at, now + action.timeout)
        attempt = ObservedAttempt(self.listed_endpoints[action.server], now, timeout_at)
        self.in_flight[action.request_id, len(observed.attempts)] = attempt
        observed.attempts.append(attempt)

    def _check_rejection(self, name: str) -> None:
        """Check that the client of a rejected request may safely send it again."""
        assert name in self.open_requests, f"rule 1: a second answer to {name}"
        observed = self.open_requests[name]
        request_class = self._class_of(observed)
        if observed.attempts_maybe_executed() and request_class.idempotency is not Idempotency.IDEMPOTENT:
            is_safe_to_retry = (
                request_class.idempotency is Idempotency.WITH_KEY
                and request_class.idempotency_scope is IdempotencyScope.ALL
            )
            assert is_safe_to_retry, f"rule 2: rejects {name}, which may have been executed"

    def _class_of(self, observed: ObservedRequest) -> RequestClass:
        """Return the class of a request."""
        return self.settings.classes[observed.request.request_class]
