"""Hedged requests: a second attempt for an idempotent request whose response is more likely lost than late.

The second attempt is sent after a delay, so that few requests are sent twice (Dean and Barroso, "The Tail at
Scale", 2013).
"""

from dataclasses import dataclass

from cache_router.decisions.endpoints import EndpointList
from cache_router.decisions.fleet_health import FleetHealth
from cache_router.decisions.pending_request import Attempt, PendingRequest
from cache_router.decisions.retry_policy import RetryBudget, RetryPolicy
from cache_router.decisions.server import Server
from cache_router.decisions.server_selection import ServerSelector
from cache_router.decisions.slow_start import SlowStart
from cache_router.settings import Idempotency, Settings

HEDGE_DELAY_FACTOR = 6.0  # multiple of the usual latency after which a response is more likely lost than late


@dataclass(slots=True)
class Hedging:
    """Decides when a request is hedged, and at which server, within the retry budget."""

    endpoints: EndpointList
    slow_start: SlowStart
    health: FleetHealth
    retry_policy: RetryPolicy
    retry_budget: RetryBudget
    selector: ServerSelector
    settings: Settings

    def delay(self, pending: PendingRequest, server: Server, now: float) -> float | None:
        """Return the seconds from an attempt to its hedged request; None when forbidden or too late."""
        if not self._may_be_hedged(pending, server):
            return None
        usual_latency = max(server.concurrency.latency, self.health.queueing_latency)
        delay = max(HEDGE_DELAY_FACTOR * usual_latency, self.settings.clock_resolution)
        return delay if now + delay < pending.deadline else None

    def choose_server(self, pending: PendingRequest, now: float) -> Server | None:
        """Return the server for a hedged request that is due; None when no hedged request is to be sent.

        A hedged request takes a token from the retry budget. The first choice is the server of the last
        attempt, which most likely has the key.
        """
        last = pending.attempts[-1]
        is_progressing = pending.is_queued or pending.response_started or pending.to_origin
        if is_progressing or not last.is_open or not self.retry_budget.has_token():
            return None
        server: Server | None = last.server
        if not self._has_responded_since(last, now) or not self._has_capacity(last.server, now):
            server = self.selector.choose(pending, now)
        if server is None or not self.retry_policy.permits_attempt(pending, server, now):
            return None
        self.retry_budget.take_token()
        return server

    def _may_be_hedged(self, pending: PendingRequest, server: Server) -> bool:
        """Return whether an attempt may be hedged: at a cache of known latency, for an idempotent request."""
        if not self.settings.hedging_allowed or not server.is_cache or not server.concurrency.latency:
            return False
        return pending.request_class.idempotency is Idempotency.IDEMPOTENT

    def _has_responded_since(self, attempt: Attempt, now: float) -> bool:
        """Return whether the server is ready, is not ejected, and has responded since this attempt was sent.

        A server that has not responded since then may be down.
        """
        server = attempt.server
        if not self.endpoints.is_listed(server) or not server.endpoint.is_ready:
            return False
        return server.concurrency.unanswered_since > attempt.sent_at and now >= server.failures.ejected_until

    def _has_capacity(self, server: Server, now: float) -> bool:
        return server.concurrency.has_capacity() and not self.slow_start.is_quota_exhausted(server, now)
