"""The quota of one warming server at this router, and the share of its capacity that a server has reached."""

import math
from dataclasses import dataclass, field

from cache_router.endpoint import Endpoint
from cache_router.settings import Settings


def capacity_share(settings: Settings, endpoint: Endpoint, now: float) -> float:
    """Share of its capacity that a server has reached; it rises evenly over the slow start."""
    if endpoint.started_at > 0:
        progress = min(1.0, max(0.0, now - endpoint.started_at) / settings.slow_start_duration)
    else:
        progress = 1.0
    return settings.slow_start_initial_share + (1 - settings.slow_start_initial_share) * progress


@dataclass(slots=True)
class SlowStartQuota:
    """This router's part of what a warming server may be sent in any window, over all that it sends there."""

    offset: float  # from 0 to 1, random: or a quota of less than one attempt would be the same at all routers
    sent_at: list[float] = field(default_factory=list)

    def add(self, now: float, window: float) -> None:
        """Count an attempt sent; `window` in seconds."""
        self.sent_at = [*(at for at in self.sent_at if now - at < window), now]

    def is_used_up(self, settings: Settings, endpoint: Endpoint, warm_rate: float, now: float) -> bool:
        """Whether one attempt more would exceed it; `warm_rate` is what a warm server answers us a second."""
        window = settings.overload_window
        routers = settings.router_count
        share = capacity_share(settings, endpoint, now - window)  # the least within the window that ends now
        expected = settings.overload_multiple * share * warm_rate * window
        tolerance = (
            2 * math.sqrt(expected * routers) + 2
        ) / routers  # our part of what is put down to chance
        return sum(now - at < window for at in self.sent_at) + self.offset > expected + tolerance
