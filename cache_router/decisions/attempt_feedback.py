"""What a completed attempt teaches: passes its outcome on to each part that keeps state of servers."""

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

NO_SIGN_OF_LIFE = (AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED, AttemptStatus.NOT_SENT)


@dataclass(slots=True)
class AttemptFeedback:
    """The order in which the parts learn of an attempt."""

    endpoints: EndpointList
    slow_start: SlowStart
    health: FleetHealth
    outliers: OutlierDetector
    overload: OverloadBackoff
    idle_connections: IdleConnections

    def on_attempt_completed(self, attempt: Attempt, event: AttemptCompleted, now: float) -> None:
        """Learn from an attempt that has just ended."""
        server = attempt.server
        status = event.status
        server.concurrency.on_attempt_completed(now)
        if status not in NO_SIGN_OF_LIFE:
            server.concurrency.on_answer()
            if server.is_cache:
                self.detect_outlier(server, status, now)
        self.overload.record(server.overload, server.is_cache, event, now)
        self.idle_connections.on_attempt_completed(status)
        if server.is_cache:
            self._learn_of_caches(server, event, now)
        server.concurrency.adapt(status, event.latency, attempt.target_latency, now)

    def detect_outlier(self, server: Server, status: AttemptStatus, now: float) -> None:
        """Count a status that a cache answered with, or its failure."""
        is_listed = self.endpoints.is_listed(server)
        if self.outliers.record(server.failures, status, is_listed, now):
            server.concurrency.cap_at_initial()

    def _learn_of_caches(self, server: Server, event: AttemptCompleted, now: float) -> None:
        is_good = event.status in ANSWERED
        self.health.record(is_good, event.latency, server.reported_load)
        if is_good:
            self.slow_start.on_good_answer(server, now)
