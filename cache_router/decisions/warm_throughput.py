"""The throughput of warm servers, measured by this router from the responses that it gets."""

import math
from dataclasses import dataclass


@dataclass(slots=True)
class WarmThroughput:
    """Responses of warm servers to this router per unit of size, with exponential decay."""

    started_at: float  # start of the measurement, in seconds on the router's clock
    time_constant: float  # time constant of the decay in seconds: a response of that age counts 1/e
    response_count: float = 0.0  # responses per unit of size, decayed to `updated_at`
    updated_at: float = 0.0  # time of the last response, in seconds on the router's clock

    def add(self, now: float, warm_size: float) -> None:
        """Count one response of any warm server; `warm_size` is the sum of the sizes of all warm servers."""
        self.response_count = self._decayed(now) + 1 / warm_size
        self.updated_at = now

    def rate(self, now: float, min_age: float) -> float:
        """Return the responses per second and unit of size; 0 before the first response.

        The decayed count is divided by the integral of the decay over the age of the measurement, where the
        age is at least `min_age` seconds.
        """
        age = max(now - self.started_at, min_age)
        decay_integral = self.time_constant * -math.expm1(-age / self.time_constant)
        return self._decayed(now) / decay_integral

    def last_rate(self, min_age: float) -> float:
        """Return the rate at the time of the last response; see `rate`."""
        return self.rate(self.updated_at, min_age)

    def _decayed(self, now: float) -> float:
        return self.response_count * math.exp((self.updated_at - now) / self.time_constant)
