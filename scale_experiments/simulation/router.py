"""Model of a router: its endpoint list, the requests that it accepts and their final answers."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from cache_router.decisions.actions import Action, Cancel, CloseIdleConnections, Fail, Reject, Send, SetTimer
from cache_router.decisions.events import (
    AttemptCompleted,
    AttemptStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    LoadReport,
    Request,
    TimerFired,
)
from cache_router.endpoint import Endpoint, EndpointState
from scale_experiments.simulation.attempt_runner import AttemptRunner
from scale_experiments.simulation.cache_server import CacheServer
from scale_experiments.simulation.context import SimulationContext
from scale_experiments.simulation.decision_loop import DecisionLoop
from scale_experiments.simulation.errors import MissingAnswerError
from scale_experiments.simulation.model import READ, WRITE
from scale_experiments.simulation.network import location_of
from scale_experiments.simulation.origin import Origin
from scale_experiments.simulation.requests import Attempt, ClientRequest, PendingRequest
from scale_experiments.simulation.statistics import CountedEvent

# A request may get its final answer up to this many units of the clock resolution after its deadline.
ANSWER_GRACE_TICKS = 4

# Called with the index of the router that did not serve the request, and with the request.
Retry = Callable[[int, ClientRequest], None]


class SimulatedRouter:
    """One router process, from its start until it is stopped.

    `retry` is called for each client request whose final answer is a rejection or a failure.
    """

    __slots__ = (
        "_context",
        "_decisions",
        "_retry",
        "attempts",
        "endpoints",
        "index",
        "is_running",
        "location",
        "pool",
        "requests",
    )

    def __init__(
        self,
        context: SimulationContext,
        index: int,
        caches: Mapping[str, CacheServer],
        origin: Origin,
        retry: Retry,
    ) -> None:
        self._context = context
        self._retry = retry
        self._decisions = DecisionLoop(context, self._execute)
        self.index = index
        self.location = location_of(index, context.model)
        self.is_running = True
        self.endpoints: dict[str, Endpoint] = {}
        self.attempts = AttemptRunner(
            context, self.location, self.endpoints, caches, origin, on_finished=self._on_attempt_finished
        )
        self.pool = self.attempts.pool
        self.requests: dict[str, PendingRequest] = {}  # requests by id

    # Start, stop and endpoint list

    def start(self, endpoints: Sequence[Endpoint]) -> None:
        """Pass the complete endpoint list to the decision module."""
        self.endpoints.update((endpoint.name, endpoint) for endpoint in endpoints)
        self._handle(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, tuple(endpoints)))

    def stop(self) -> None:
        """Stop the process: close its connections and fail the requests without a final answer."""
        self.is_running = False
        self.pool.close_all_idle()
        for request in list(self.requests.values()):
            for attempt in list(request.attempts_in_flight.values()):
                self.attempts.drop(attempt)
            if not request.is_answered:
                self._answer(request, CountedEvent.FAILED)

    def update_endpoints(self, endpoints: Sequence[Endpoint]) -> None:
        """Apply an endpoint update; close idle connections to servers that restarted or are not ready."""
        if not self.is_running:
            return
        for endpoint in endpoints:
            old = self.endpoints.get(endpoint.name)
            if endpoint.state is EndpointState.REMOVED:
                self.endpoints.pop(endpoint.name, None)
            else:
                self.endpoints[endpoint.name] = endpoint
            if old is not None and (not endpoint.is_ready or endpoint.started_at != old.started_at):
                self.pool.close_idle(endpoint.name)
        self._handle(EndpointUpdate(EndpointUpdateKind.DELTA, tuple(endpoints)))

    # Requests

    def accept(self, request_id: str, client_request: ClientRequest, time_left: float) -> None:
        """Accept a request whose deadline is `time_left` seconds from now."""
        context = self._context
        request = PendingRequest(request_id, self.attempts, client_request)
        self.requests[request_id] = request
        context.statistics.request_accepted(self.location.region)
        context.decision_timer.request_accepted()
        context.events.schedule(time_left, self._on_deadline, request)
        request_class = WRITE if client_request.is_write else READ
        self._handle(
            Request(
                request_id, request_class, time_left, client_request.key, is_write=client_request.is_write
            )
        )

    def _answer(self, request: PendingRequest, outcome: CountedEvent) -> None:
        """Give a request its final answer.

        Raises:
            DuplicateAnswerError: if the request already has a final answer.
        """
        request.mark_answered()
        statistics, client_request = self._context.statistics, request.client_request
        if outcome is CountedEvent.SERVED:
            statistics.request_served(self.location.region, client_request.created_at)
            return
        statistics.request_not_served(outcome, self.location.region)
        self._retry(self.index, client_request)

    def _remove_if_done(self, request: PendingRequest) -> None:
        if request.is_done:
            self.requests.pop(request.request_id, None)

    def _on_deadline(self, request: PendingRequest) -> None:
        if not self.is_running:
            return
        request.mark_overdue()
        for attempt in list(request.attempts_in_flight.values()):
            self.attempts.abandon(attempt, AttemptStatus.TIMEOUT)
        if not request.is_answered:
            # The decision module has received the last event of this request, but may still wait for a timer.
            grace = self._context.settings.clock_resolution * ANSWER_GRACE_TICKS
            self._context.events.schedule(grace, self._check_answered, request)

    def _check_answered(self, request: PendingRequest) -> None:
        if not request.is_answered and self.is_running:
            raise MissingAnswerError(request.request_id)

    # Events and actions of the decision module

    def _handle(self, event: Event) -> None:
        if self.is_running:
            self._decisions.handle(event)

    def _execute(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self._context.events.schedule(action.delay, self._handle, TimerFired(action.timer))
        elif isinstance(action, Send):
            self._send(action)
        elif isinstance(action, Reject):
            self._answer_unserved(action.request_id, CountedEvent.REJECTED)
        elif isinstance(action, Fail):
            self._answer_unserved(action.request_id, CountedEvent.FAILED)
        elif isinstance(action, Cancel):
            self._cancel(action)
        elif isinstance(action, CloseIdleConnections):
            self.pool.close_idle(action.server)

    def _answer_unserved(self, request_id: str, outcome: CountedEvent) -> None:
        request = self.requests.get(request_id)
        if request is not None and not request.is_answered:
            self._answer(request, outcome)
            self._remove_if_done(request)

    def _send(self, action: Send) -> None:
        request = self.requests.get(action.request_id)
        if request is not None:
            self.attempts.start(request, action.server)

    def _cancel(self, action: Cancel) -> None:
        request = self.requests.get(action.request_id)
        attempt = request.attempts_in_flight.get(action.attempt_number) if request is not None else None
        if attempt is not None:
            self.attempts.abandon(attempt, AttemptStatus.CANCELLED)

    def _on_attempt_finished(
        self, attempt: Attempt, status: AttemptStatus, load_report: LoadReport | None
    ) -> None:
        request = attempt.request
        if status is AttemptStatus.OK and not request.is_answered:
            self._answer(request, CountedEvent.SERVED)
        if status is AttemptStatus.NOT_SENT:
            self._context.statistics.count(CountedEvent.NOT_SENT)
        latency = self._context.events.now - attempt.sent_at
        self._handle(
            AttemptCompleted(
                request.request_id, attempt.number, status, request.is_answered, latency, load_report
            )
        )
        self._remove_if_done(request)
