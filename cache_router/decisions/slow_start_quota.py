"""The quota of one warming server at this router, and the share of its capacity that a server has reached."""

import math
from dataclasses import dataclass, field

from cache_router.endpoint import Endpoint
from cache_router.settings import Settings

# statistical tolerance of a count of attempts: two standard deviations, and two attempts for small counts
TOLERANCE_DEVIATIONS = 2
TOLERANCE_ATTEMPTS = 2


def capacity_share(settings: Settings, endpoint: Endpoint, now: float) -> float:
    """Share of its capacity that a server has reached, from 0 to 1.

    The share rises linearly from `slow_start_initial_share` to 1 during the slow start. `now` is in seconds.
    """
    if endpoint.started_at > 0:
        progress = min(1.0, max(0.0, now - endpoint.started_at) / settings.slow_start_duration)
    else:
        progress = 1.0
    return settings.slow_start_initial_share + (1 - settings.slow_start_initial_share) * progress


def statistical_tolerance(expected: float, router_count: int) -> float:
    """This router's part of the attempts by which the fleet may exceed its expected number.

    `expected` is this router's part of that number. Arrivals at the server are counted as a Poisson process:
    the standard deviation of the fleet's count is the square root of its mean.
    """
    fleet_deviation = math.sqrt(expected * router_count)
    fleet_tolerance = TOLERANCE_DEVIATIONS * fleet_deviation + TOLERANCE_ATTEMPTS
    return fleet_tolerance / router_count


@dataclass(slots=True)
class SlowStartQuota:
    """This router's part of the attempts that a warming server can take in any window.

    A window is `Settings.overload_window` seconds long. The quota counts every attempt of this router there.
    """

    offset: float  # random, from 0 to 1; without it all routers would round a small quota in the same way
    sent_at: list[float] = field(default_factory=list)  # seconds on the router's clock

    def add(self, now: float, window: float) -> None:
        """Count an attempt sent, and drop those that left the window; `window` in seconds."""
        self.sent_at = [*(at for at in self.sent_at if now - at < window), now]

    def is_used_up(self, settings: Settings, endpoint: Endpoint, warm_rate: float, now: float) -> bool:
        """Whether one more attempt would exceed the quota.

        `warm_rate` is in answers a second: what this router gets from a warm server of the same size.
        """
        expected = self._expected(settings, endpoint, warm_rate, now)
        tolerance = statistical_tolerance(expected, settings.router_count)
        used = sum(now - at < settings.overload_window for at in self.sent_at) + self.offset
        return used > expected + tolerance

    @staticmethod
    def _expected(settings: Settings, endpoint: Endpoint, warm_rate: float, now: float) -> float:
        """Attempts in the window that ends now, at the rate at which the server would be overloaded.

        The share of capacity is the one at the start of the window, the smallest within it.
        """
        window = settings.overload_window
        share = capacity_share(settings, endpoint, now - window)
        return settings.overload_multiple * share * warm_rate * window
