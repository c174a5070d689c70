"""Feedback from completed attempts to the parts of a router that keep state of servers."""

from dataclasses import dataclass

from cache_router.decisions.endpoints import EndpointList
from cache_router.decisions.events import ANSWERED, AttemptCompleted, AttemptStatus
from cache_router.decisions.fleet_health import FleetHealth
from cache_router.decisions.idle_connections import IdleConnections
from cache_router.decisions.outlier_detection import OutlierDetector
from cache_router.decisions.overload_backoff import OverloadBackoff
from cache_router.decisions.pending_request import Attempt
from cache_router.decisions.server import Server
from cache_router.decisions.slow_start import SlowStart

# statuses that do not show that the server responds
NO_RESPONSE = (AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED, AttemptStatus.NOT_SENT)


@dataclass(slots=True)
class AttemptFeedback:
    """Passes the outcome of a completed attempt, in a fixed order, to the parts that keep state of servers.

    The concurrency limit adapts last, after a possible ejection has capped it.
    """

    endpoints: EndpointList
    slow_start: SlowStart
    health: FleetHealth
    outliers: OutlierDetector
    overload: OverloadBackoff
    idle_connections: IdleConnections

    def on_attempt_completed(self, attempt: Attempt, event: AttemptCompleted, now: float) -> None:
        """Record the outcome of an attempt that has ended."""
        server = attempt.server
        status = event.status
        server.concurrency.on_attempt_completed(now)
        if status not in NO_RESPONSE:
            server.concurrency.on_response()
            if server.is_cache:
                self.detect_outlier(server, status, now)
        self.overload.record(server.overload, server.is_cache, event, now)
        self.idle_connections.on_attempt_completed(status)
        if server.is_cache:
            self._record_cache_outcome(server, event, now)
        server.concurrency.adapt(status, event.latency, attempt.target_latency, now)

    def detect_outlier(self, server: Server, status: AttemptStatus, now: float) -> None:
        """Record the status of an attempt at a cache; if this ejects the cache, cap its concurrency limit."""
        is_listed = self.endpoints.is_listed(server)
        if self.outliers.record(server.failures, status, is_listed, now):
            server.concurrency.cap_at_initial()

    def _record_cache_outcome(self, server: Server, event: AttemptCompleted, now: float) -> None:
        is_good = event.status in ANSWERED
        self.health.record(is_good, event.latency, server.reported_load)
        if is_good:
            self.slow_start.on_successful_response(server, now)
