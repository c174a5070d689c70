"""How the caches answer this router as a whole: success rate and queueing latency, both smoothed."""

from dataclasses import dataclass

SMOOTHING = 0.2  # weight of the latest sample in every smoothed mean: about the last five count


@dataclass(slots=True)
class FleetHealth:
    """Means over all attempts at caches."""

    success_rate: float = 1.0  # share of attempts answered with a value or a miss
    queueing_latency: float = 0.0  # seconds for each request in flight at a unit of size, this one included

    def record(self, is_good: bool, latency: float, reported_load: float) -> None:
        """Count one attempt at a cache; `latency` in seconds."""
        self.success_rate += SMOOTHING * (is_good - self.success_rate)
        self.queueing_latency += SMOOTHING * (latency / (1 + reported_load) - self.queueing_latency)
