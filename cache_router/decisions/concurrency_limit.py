"""An adaptive limit of the attempts that this router has in flight at one server.

The limit rises by additive increase while answers are fast. It falls by multiplicative decrease when answers
are slower than their target or the server rejects a request.
"""

import math
from dataclasses import dataclass

from cache_router.decisions.events import ANSWERED, FAILED, AttemptStatus
from cache_router.decisions.fleet_health import SMOOTHING

INITIAL_LIMIT = 4.0  # adapts within seconds
DECREASE_FACTOR = 0.75  # empties an overloaded server within a few round trips; 0.9 took many seconds
MAX_SAMPLE_FACTOR = 4.0  # of the usual value, for one sample; bounds the effect of one lost answer


@dataclass(slots=True, eq=False)
class ConcurrencyLimit:
    """Attempts in flight at one server, and the capacity that its answers show. Times are in seconds."""

    limit: float = INITIAL_LIMIT
    in_flight: int = 0
    latency: float = 0.0  # smoothed; 0 before the first answer
    slowness: float = 0.0  # latency as a multiple of its target, smoothed
    decreased_at: float = -math.inf
    unanswered_since: float = math.inf  # first attempt sent since the last answer
    last_completed_at: float = 0.0

    def has_capacity(self) -> bool:
        """Whether one more attempt stays within the limit."""
        return self.in_flight < self.limit

    def is_silent(self, now: float, silence_timeout: float) -> bool:
        """Whether the server has answered no attempt for longer than the timeout, though some were sent."""
        return now - self.unanswered_since > silence_timeout

    def on_attempt_sent(self, now: float) -> None:
        """Count an attempt as in flight."""
        self.in_flight += 1
        self.unanswered_since = min(self.unanswered_since, now)

    def on_attempt_completed(self, now: float) -> None:
        """Count an attempt as no longer in flight."""
        self.in_flight -= 1
        self.last_completed_at = now

    def on_answer(self) -> None:
        """End the server's silence."""
        self.unanswered_since = math.inf

    def cap_at_initial(self) -> None:
        """Limit an ejected server: it may return as a new process, which the endpoint list shows late."""
        self.limit = min(self.limit, INITIAL_LIMIT)

    def adapt(self, status: AttemptStatus, latency: float, target_latency: float, now: float) -> None:
        """Adapt to one completed attempt; fast failures show nothing of the load."""
        if status in FAILED or status is AttemptStatus.NOT_SENT:
            return
        is_rejected = status is AttemptStatus.REJECTED
        if not is_rejected:
            sample = min(latency, MAX_SAMPLE_FACTOR * self.latency) if self.latency else latency
            self.latency += SMOOTHING * (sample - self.latency)
        slowness = min(MAX_SAMPLE_FACTOR, latency / target_latency)
        self.slowness += SMOOTHING * (slowness - self.slowness)
        if is_rejected or self.slowness > 1.0:
            self._decrease(is_rejected, target_latency, now)
        elif status in ANSWERED and self._is_in_use():
            self.limit += 1 / self.limit  # by one for as many answers as the limit

    def _is_in_use(self) -> bool:
        """Whether at least half of the limit was in flight, the completed attempt included."""
        return self.in_flight + 1 >= self.limit / 2

    def _decrease(self, is_rejected: bool, target_latency: float, now: float) -> None:
        """Reduce the limit, at most once in a target latency, and on a rejection to what is in flight.

        What is in flight when a server rejects an attempt is what it has capacity for.
        """
        if now - self.decreased_at > target_latency:
            self.limit = max(1.0, self.limit * DECREASE_FACTOR)
            self.decreased_at = now
        if is_rejected:
            self.limit = max(1.0, min(self.limit, self.in_flight))
