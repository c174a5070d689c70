"""The health of all caches together, as this router measures it: success rate and queueing latency."""

import math
from dataclasses import dataclass

# weight of the latest sample in every exponentially weighted mean: about the last five samples count
SMOOTHING = 0.2


@dataclass(slots=True)
class FleetHealth:
    """Exponentially weighted means over all attempts at caches.

    One client may wait for minutes at a server that hangs. Its latency counts as no more than
    `longest_latency`, or every request would be rejected for long after.
    """

    longest_latency: float = math.inf  # seconds, of one sample
    success_rate: float = 1.0  # share of attempts answered with a value or a miss
    queueing_latency: float = 0.0  # seconds for each request in flight at a unit of size, this one included

    def record(self, is_good: bool, latency: float, reported_load: float) -> None:
        """Count one attempt at a cache.

        `latency` is in seconds, `reported_load` in requests in flight for each unit of size.
        """
        latency_per_request = min(latency, self.longest_latency) / (1 + reported_load)
        self.success_rate += SMOOTHING * (is_good - self.success_rate)
        self.queueing_latency += SMOOTHING * (latency_per_request - self.queueing_latency)
