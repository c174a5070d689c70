"""The health of the caches as a whole, as measured by this router: success rate and queueing latency."""

import math
from dataclasses import dataclass

# Weight of the latest sample in each exponentially weighted mean; about the last five samples have an effect.
SMOOTHING = 0.2


@dataclass(slots=True)
class FleetHealth:
    """Exponentially weighted means over all attempts at caches.

    An attempt at a server that hangs may last for minutes. Its latency is capped at `max_latency`, as all
    requests would otherwise be rejected for a long time afterwards.
    """

    max_latency: float = math.inf  # cap on the latency of one sample, in seconds
    success_rate: float = 1.0  # share of attempts whose response is a value or a miss
    # seconds per request in flight at a unit of size, where the request itself counts as in flight
    queueing_latency: float = 0.0

    def record(self, is_good: bool, latency: float, reported_load: float) -> None:
        """Record the outcome of one attempt at a cache.

        `latency` is in seconds, `reported_load` in requests in flight per unit of size.
        """
        latency_per_request = min(latency, self.max_latency) / (1 + reported_load)
        self.success_rate += SMOOTHING * (is_good - self.success_rate)
        self.queueing_latency += SMOOTHING * (latency_per_request - self.queueing_latency)
