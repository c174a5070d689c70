"""An adaptive limit of the attempts that this router has in flight at one server.

It rises by additive increase while answers are fast, and falls by multiplicative decrease when they are
slower than their target or the server rejects a request.
"""

import math
from dataclasses import dataclass

from cache_router.decisions.events import ANSWERED, FAILED, AttemptStatus
from cache_router.decisions.fleet_health import SMOOTHING

INITIAL_LIMIT = 4.0  # adapts within seconds
DECREASE_FACTOR = 0.75  # empties an overloaded server within a few rounds; 0.9 took many seconds
MAX_SAMPLE_FACTOR = 4.0  # of the usual value, for one sample; or one lost answer makes all look slow


@dataclass(slots=True, eq=False)
class ConcurrencyLimit:
    """Attempts in flight at one server, and what its answers tell of its capacity. Times are in seconds."""

    limit: float = INITIAL_LIMIT
    in_flight: int = 0
    latency: float = 0.0  # smoothed; 0 before the first answer
    slowness: float = 0.0  # smoothed share of the target latency that answers take
    decreased_at: float = -math.inf
    unanswered_since: float = math.inf  # first attempt sent since the last answer
    last_completed_at: float = 0.0

    def has_capacity(self) -> bool:
        """Whether one attempt more stays within the limit."""
        return self.in_flight < self.limit

    def is_silent(self, now: float, silence_timeout: float) -> bool:
        """Whether the server owes an answer and has given none, to any request, for too long."""
        return now - self.unanswered_since > silence_timeout

    def on_attempt_sent(self, now: float) -> None:
        """Count an attempt in."""
        self.in_flight += 1
        self.unanswered_since = min(self.unanswered_since, now)

    def on_attempt_completed(self, now: float) -> None:
        """Count an attempt out."""
        self.in_flight -= 1
        self.last_completed_at = now

    def on_answer(self) -> None:
        """The server has shown that it answers."""
        self.unanswered_since = math.inf

    def cap_at_initial(self) -> None:
        """An ejected server may come back as a new process, which the endpoint list shows late."""
        self.limit = min(self.limit, INITIAL_LIMIT)

    def adapt(self, status: AttemptStatus, latency: float, target_latency: float, now: float) -> None:
        """Learn from one completed attempt; fast failures tell nothing of load."""
        if status in FAILED or status is AttemptStatus.NOT_SENT:
            return
        is_rejected = status is AttemptStatus.REJECTED
        if not is_rejected:
            sample = min(latency, MAX_SAMPLE_FACTOR * self.latency) if self.latency else latency
            self.latency += SMOOTHING * (sample - self.latency)
        self.slowness += SMOOTHING * (min(MAX_SAMPLE_FACTOR, latency / target_latency) - self.slowness)
        if is_rejected or self.slowness > 1.0:
            self._decrease(is_rejected, target_latency, now)
        elif status in ANSWERED and self.in_flight + 1 >= self.limit / 2:  # the limit is in use
            self.limit += 1 / self.limit

    def _decrease(self, is_rejected: bool, target_latency: float, now: float) -> None:
        if now - self.decreased_at > target_latency:
            self.limit = max(1.0, self.limit * DECREASE_FACTOR)
            self.decreased_at = now
        if is_rejected:  # what is in flight now is what the server has capacity for
            self.limit = max(1.0, min(self.limit, self.in_flight))
