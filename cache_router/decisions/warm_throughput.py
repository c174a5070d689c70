"""The throughput of warm servers, as this router measures it."""

import math
from dataclasses import dataclass


@dataclass(slots=True)
class WarmThroughput:
    """Answers of warm servers to this router, each second and for each unit of size, in a fading memory."""

    since: float  # seconds on the router's clock
    memory: float  # seconds after which an answer counts a third
    answers: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float, warm_size: float) -> None:
        """Count one answer of warm servers of this size in all."""
        self.answers = self._faded(now) + 1 / warm_size
        self.updated_at = now

    def rate(self, now: float, min_age: float) -> float:
        """Answers a second for a unit of size; 0 at first, as a new router has seen no server at work."""
        age = max(now - self.since, min_age)
        return self._faded(now) / (self.memory * -math.expm1(-age / self.memory))

    def _faded(self, now: float) -> float:
        return self.answers * math.exp((self.updated_at - now) / self.memory)
