"""The quota of attempts of this router at one warming server, and the capacity of a warming server."""

import math
from dataclasses import dataclass, field

from cache_router.endpoint import Endpoint
from cache_router.settings import Settings

# Statistical tolerance of the number of attempts that the fleet sends to a server in one window: two standard
# deviations, plus two attempts for small numbers.
TOLERANCE_DEVIATIONS = 2
TOLERANCE_ATTEMPTS = 2


def capacity_share(settings: Settings, endpoint: Endpoint, now: float) -> float:
    """Return the capacity of a server at `now`, as a share of its capacity when warm, from 0 to 1.

    The share rises linearly from `slow_start_initial_share` to 1 during the slow start. `now` is in seconds.
    """
    if endpoint.started_at > 0:
        progress = min(1.0, max(0.0, now - endpoint.started_at) / settings.slow_start_duration)
    else:
        progress = 1.0
    return settings.slow_start_initial_share + (1 - settings.slow_start_initial_share) * progress


def statistical_tolerance(expected: float, router_count: int) -> float:
    """Return this router's part of the attempts by which the fleet may exceed the expected number.

    `expected` is this router's part of the expected number. Arrivals at the server are modelled as a Poisson
    process: the standard deviation of the fleet's number of attempts is the square root of its mean.
    """
    fleet_deviation = math.sqrt(expected * router_count)
    fleet_tolerance = TOLERANCE_DEVIATIONS * fleet_deviation + TOLERANCE_ATTEMPTS
    return fleet_tolerance / router_count


@dataclass(slots=True)
class SlowStartQuota:
    """This router's part of the attempts that a warming server has capacity for in any window.

    A window is `Settings.overload_window` seconds long. Every attempt of this router at the server counts.
    """

    # Random number from 0 to 1, added to the number of attempts. Without it, all routers would round a small
    # quota in the same direction.
    offset: float
    sent_at: list[float] = field(default_factory=list)  # send times, in seconds on the router's clock

    def add(self, now: float, window: float) -> None:
        """Count an attempt sent now, and drop those older than the window; `window` is in seconds."""
        self.sent_at = [*(at for at in self.sent_at if now - at < window), now]

    def is_exhausted(
        self,
        settings: Settings,
        endpoint: Endpoint,
        warm_rate: float,
        now: float,
        *,
        has_tolerance: bool = True,
    ) -> bool:
        """Return whether one more attempt would exceed the quota.

        Args:
            settings: The operators' settings.
            endpoint: Entry of the warming server.
            warm_rate: Responses per second that this router gets from a warm server of the same size.
            now: Time in seconds on the router's clock.
            has_tolerance: Whether the statistical tolerance is added. If all routers use up their quotas,
                they use up the tolerance of the fleet, too.
        """
        quota = self._expected_attempts(settings, endpoint, warm_rate, now)
        if has_tolerance:
            quota += statistical_tolerance(quota, settings.router_count)
        used = sum(now - at < settings.overload_window for at in self.sent_at) + self.offset
        return used > quota

    @staticmethod
    def _expected_attempts(settings: Settings, endpoint: Endpoint, warm_rate: float, now: float) -> float:
        """Return the attempts in the window that ends now, at the rate that would overload the server.

        The share of capacity is that at the start of the window, which is the smallest within the window.
        """
        window = settings.overload_window
        share = capacity_share(settings, endpoint, now - window)
        return settings.overload_multiple * share * warm_rate * window
