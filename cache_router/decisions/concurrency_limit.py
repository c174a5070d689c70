"""An adaptive limit on the attempts that this router has in flight at one server.

The limit rises by additive increase while responses are fast. It falls by multiplicative decrease when
responses are slower than the target latency or the server rejects an attempt.
"""

import math
from dataclasses import dataclass

from cache_router.decisions.events import ANSWERED, FAILED, AttemptStatus
from cache_router.decisions.fleet_health import SMOOTHING

INITIAL_LIMIT = 4.0  # attempts; the limit adapts to the server within seconds
# With 0.75 the queue of an overloaded server empties within a few round trips; with 0.9 it took many seconds.
DECREASE_FACTOR = 0.75
# Largest latency of one sample as a multiple of the smoothed latency, and largest latency ratio of a sample.
# Both bound the effect of one lost response.
MAX_SAMPLE_FACTOR = 4.0


@dataclass(slots=True, eq=False)
class ConcurrencyLimit:
    """Attempts in flight at one server, and their limit, adapted to its responses. Times are in seconds."""

    limit: float = INITIAL_LIMIT
    in_flight: int = 0
    latency: float = 0.0  # smoothed latency; 0 before the first response
    latency_ratio: float = 0.0  # smoothed ratio of the latency to the target latency
    decreased_at: float = -math.inf  # time of the last decrease of the limit
    unanswered_since: float = math.inf  # time of the first attempt since the last response; inf if none
    last_completed_at: float = 0.0

    def has_capacity(self) -> bool:
        """Return whether one more attempt stays within the limit."""
        return self.in_flight < self.limit

    def is_silent(self, now: float, silence_timeout: float) -> bool:
        """Return whether the first attempt since the last response was sent longer than the timeout ago."""
        return now - self.unanswered_since > silence_timeout

    def on_attempt_sent(self, now: float) -> None:
        """Count an attempt as in flight."""
        self.in_flight += 1
        self.unanswered_since = min(self.unanswered_since, now)

    def on_attempt_completed(self, now: float) -> None:
        """Count an attempt as no longer in flight."""
        self.in_flight -= 1
        self.last_completed_at = now

    def on_response(self) -> None:
        """Record that the server has responded, so that it no longer counts as silent."""
        self.unanswered_since = math.inf

    def cap_at_initial(self) -> None:
        """Reduce the limit of an ejected server to the initial one, if it is higher.

        The server may return as a new process before the endpoint list shows the new incarnation.
        """
        self.limit = min(self.limit, INITIAL_LIMIT)

    def adapt(self, status: AttemptStatus, latency: float, target_latency: float, now: float) -> None:
        """Adapt the limit to a completed attempt; fast failures do not reflect the load and are ignored."""
        if status in FAILED or status is AttemptStatus.NOT_SENT:
            return
        is_rejected = status is AttemptStatus.REJECTED
        if not is_rejected:
            sample = min(latency, MAX_SAMPLE_FACTOR * self.latency) if self.latency else latency
            self.latency += SMOOTHING * (sample - self.latency)
        latency_ratio = min(MAX_SAMPLE_FACTOR, latency / target_latency)
        self.latency_ratio += SMOOTHING * (latency_ratio - self.latency_ratio)
        if is_rejected or self.latency_ratio > 1.0:
            self._decrease(is_rejected, target_latency, now)
        elif status in ANSWERED and self._is_in_use():
            self.limit += 1 / self.limit  # adds 1 per `limit` responses

    def _is_in_use(self) -> bool:
        """Return whether at least half of the limit was in flight, including the completed attempt."""
        return self.in_flight + 1 >= self.limit / 2

    def _decrease(self, is_rejected: bool, target_latency: float, now: float) -> None:
        """Multiply the limit by `DECREASE_FACTOR`, at most once per target latency.

        A rejection also reduces the limit to the number of attempts in flight, because the server has
        capacity for no more than these. The limit is at least 1.
        """
        if now - self.decreased_at > target_latency:
            self.limit = max(1.0, self.limit * DECREASE_FACTOR)
            self.decreased_at = now
        if is_rejected:
            self.limit = max(1.0, min(self.limit, self.in_flight))
