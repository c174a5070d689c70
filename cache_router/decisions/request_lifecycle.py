"""Lifecycle of a request: accepted, sent, retried, hedged, and ended by exactly one final answer."""

from dataclasses import dataclass

from cache_router.decisions.admission_control import AdmissionControl
from cache_router.decisions.attempt_feedback import AttemptFeedback
from cache_router.decisions.attempt_sender import AttemptSender
from cache_router.decisions.endpoints import EndpointList
from cache_router.decisions.events import AttemptCompleted, AttemptStatus, Request
from cache_router.decisions.fleet_health import FleetHealth
from cache_router.decisions.idle_connection_closer import IdleConnectionCloser
from cache_router.decisions.idle_connections import IdleConnections
from cache_router.decisions.open_requests import OpenRequests
from cache_router.decisions.origin_scheduler import OriginScheduler
from cache_router.decisions.pending_request import PendingRequest
from cache_router.decisions.retry_policy import RetryBudget, RetryPolicy
from cache_router.decisions.server import Server
from cache_router.decisions.server_selection import ServerSelector
from cache_router.settings import Idempotency, RequestClass, Settings


@dataclass(slots=True)
class RequestLifecycle:
    """Decides the next step of a request after each event that concerns it."""

    settings: Settings
    endpoints: EndpointList
    health: FleetHealth
    retry_policy: RetryPolicy
    retry_budget: RetryBudget
    selector: ServerSelector
    admission: AdmissionControl
    feedback: AttemptFeedback
    idle_connections: IdleConnections
    idle_connection_closer: IdleConnectionCloser
    open_requests: OpenRequests
    sender: AttemptSender
    origin_scheduler: OriginScheduler

    def on_request(self, request: Request, now: float) -> None:
        """Accept a request, then send its first attempt, queue it or end it."""
        class_name = request.request_class
        request_class = self.settings.classes.get(class_name) or _unknown_class(class_name)
        time_left = request.time_left - self.settings.clock_resolution
        deadline = now + min(time_left, request_class.latency_objective)
        to_origin = self.settings.cache_aside and request.is_write
        pending = PendingRequest(request, request_class, deadline, to_origin)
        self.open_requests.add(pending)
        self.idle_connections.on_request()
        self.retry_budget.on_request()
        self._advance(pending, now)

    def on_response_started(self, request_id: str) -> None:
        """Record that the client has received the first part of a response."""
        pending = self.open_requests.find(request_id)
        if pending is not None:
            pending.mark_response_started()

    def on_client_disconnected(self, request_id: str) -> None:
        """End the request of a client that has disconnected; it needs no answer."""
        pending = self.open_requests.find(request_id)
        if pending is not None:
            self.open_requests.close(pending)

    def on_attempt_completed(self, event: AttemptCompleted, now: float) -> None:
        """Record the outcome of an attempt, then advance its request and serve the queue for the origin."""
        attempt = self.sender.complete(event.request_id, event.attempt_number, event.status)
        if attempt is None:
            return
        self.feedback.on_attempt_completed(attempt, event, now)
        self.idle_connection_closer.close_or_set_timer(attempt.server, now)
        pending = self.open_requests.find(event.request_id)
        if pending is not None:
            self._continue_after_attempt(pending, event, now)
        if not attempt.server.is_cache:
            self.origin_scheduler.serve(now)

    def on_hedge_timer(self, request_id: str, now: float) -> None:
        """Send a hedged request if the request is still unanswered."""
        pending = self.open_requests.find(request_id)
        if pending is not None:
            self.sender.send_hedge(pending, now)

    def on_endpoint_update(self, now: float) -> None:
        """Advance all queued requests: the changed endpoint list may have a server for them."""
        for pending in self.origin_scheduler.queue.drain():
            self._advance(pending, now)

    def on_shutdown(self, answer_within: float, now: float) -> None:
        """Shorten the deadlines, so that every final answer is given within `answer_within` seconds."""
        deadline = now + answer_within - self.settings.clock_resolution
        for pending in self.open_requests.by_id.values():
            pending.cut_deadline(deadline)
            if pending.is_queued:
                self.origin_scheduler.set_deadline_timer(pending, now)

    def _advance(self, pending: PendingRequest, now: float) -> None:
        """Send the request's next attempt, queue the request, or end it."""
        to_cache = self.endpoints.ring.size > 0 and not pending.to_origin
        server = self.selector.choose(pending, now) if to_cache else self.endpoints.least_loaded_origin()
        if now >= pending.deadline or (pending.attempts and not self._may_retry(pending, server, now)):
            self.open_requests.reject_or_fail(pending)
        elif not to_cache:
            self.origin_scheduler.enqueue(pending, now)
        elif server is None or self.admission.must_shed(server, pending.deadline - now):
            self.open_requests.reject_or_fail(pending)
        else:
            self.sender.send(pending, server, now)

    def _may_retry(self, pending: PendingRequest, server: Server | None, now: float) -> bool:
        """Return whether there is a server for a retry and the retry policy permits the retry."""
        return server is not None and self.retry_policy.permits_attempt(pending, server, now)

    def _continue_after_attempt(self, pending: PendingRequest, event: AttemptCompleted, now: float) -> None:
        """End a request that was answered; retry any other unless an attempt in flight may still succeed.

        A miss is a conclusive response: the request goes to the origin even while another of its attempts is
        in flight.
        """
        if event.request_closed or event.status is AttemptStatus.OK:
            self.open_requests.close(pending)
        elif not pending.is_queued and (
            event.status is AttemptStatus.MISS or not pending.has_open_attempts()
        ):
            self._retry(pending, event.status, now)

    def _retry(self, pending: PendingRequest, status: AttemptStatus, now: float) -> None:
        """Redirect the request to the origin after a miss; otherwise retry it while the budget lasts."""
        if status is AttemptStatus.MISS and self.settings.cache_aside:
            pending.redirect_to_origin()
        elif not self._take_retry(pending, status):
            pending.give_up_retries(now)
        self._advance(pending, now)

    def _take_retry(self, pending: PendingRequest, status: AttemptStatus) -> bool:
        """Take a retry from the budget; return False when a retry is useless or none is left.

        Attempts at the origin are bounded by its concurrency limit, so they take nothing from the budget.
        """
        if status is AttemptStatus.ERROR and not self.settings.cache_aside:
            return False  # the caches fetch from the origin; a retry after a failed fetch adds another fetch
        return pending.to_origin or self.retry_budget.take_for_retry(status, self.health.success_rate)


def _unknown_class(name: str) -> RequestClass:
    """Return a class for a request of an unknown class; its objective of 0 s keeps it from being sent."""
    return RequestClass(name, 0.0, Idempotency.NOT_IDEMPOTENT)
