"""Requests without a final answer, and the ways in which they end.

A request ends when the host has forwarded a response to the client, when its client has disconnected, or with
the router's own final answer: a rejection or a failure.
"""

from dataclasses import dataclass, field

from cache_router.decisions.action_buffer import ActionBuffer
from cache_router.decisions.actions import Cancel, Fail, Reject
from cache_router.decisions.endpoints import EndpointList
from cache_router.decisions.fleet_health import FleetHealth
from cache_router.decisions.pending_request import PendingRequest
from cache_router.decisions.retry_policy import RetryPolicy
from cache_router.settings import Settings


@dataclass(slots=True)
class OpenRequests:
    """Owns the pending requests. Each is removed when it ends, so that it gets no second final answer."""

    settings: Settings
    endpoints: EndpointList
    health: FleetHealth
    retry_policy: RetryPolicy
    actions: ActionBuffer
    by_id: dict[str, PendingRequest] = field(default_factory=dict)

    def add(self, pending: PendingRequest) -> None:
        """Add an accepted request, which must be answered from now on."""
        self.by_id[pending.request.request_id] = pending

    def find(self, request_id: str) -> PendingRequest | None:
        """Return the pending request with this id; None when it has ended or was never accepted."""
        return self.by_id.get(request_id)

    def close(self, pending: PendingRequest) -> None:
        """End a request, and cancel its attempts in flight where the settings permit that."""
        request_id = pending.request.request_id
        if pending.is_queued:
            pending.mark_dequeued()
        del self.by_id[request_id]
        if not self.settings.cancellation_allowed:
            return
        for number, attempt in enumerate(pending.attempts):
            if attempt.is_open:
                self.actions.add(Cancel(request_id, number))

    def reject_or_fail(self, pending: PendingRequest) -> None:
        """End a request with the router's own final answer: a rejection if it is safe, else a failure.

        Do nothing while an attempt is in flight that may still succeed, or once a response has started.
        """
        if pending.response_started or pending.has_open_attempts():
            return
        request_id = pending.request.request_id
        if self.retry_policy.permits_rejection(pending):
            self.actions.add(Reject(request_id, self._retry_after(pending)))
        else:
            self.actions.add(Fail(request_id))
        self.close(pending)

    def _retry_after(self, pending: PendingRequest) -> float:
        """Return the seconds until the load behind the rejection has passed; an earlier retry is useless."""
        origin = self.endpoints.least_loaded_origin() if pending.to_origin else None
        latency = origin.concurrency.latency if origin is not None else self.health.queueing_latency
        return min(self.settings.max_retry_after, latency)
