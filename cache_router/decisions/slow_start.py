"""What one router may send a server in its ramp, so that all routers together keep within its budget.

Routers share nothing. A cold server bears a part of what warm ones do, and no warm server answers more than
it bears: so each router grants a cold server a part of the answers that it gets itself from warm ones, and
the sum over all routers is the budget, however unevenly requests fall to them and whatever is asked for.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from cache_router.endpoint import Endpoint
from cache_router.settings import Settings


def is_cold(settings: Settings, entry: Endpoint, now: float) -> bool:
    """Whether a server is in its ramp."""
    return entry.started_at > 0 and now - entry.started_at < settings.slow_start_duration


def present_share(settings: Settings, entry: Endpoint, now: float) -> float:
    """Share of its capacity that a server has reached; it rises evenly over the ramp."""
    risen = (
        min(1.0, max(0.0, now - entry.started_at) / settings.slow_start_duration)
        if entry.started_at > 0
        else 1.0
    )
    return settings.slow_start_initial_share + (1 - settings.slow_start_initial_share) * risen


@dataclass(slots=True)
class Bearing:
    """What a warm server is seen to bear: answers to this router, each second, for each unit of size."""

    since: float
    memory: float  # seconds after which an answer counts a third
    answers: float = 0.0
    noted_at: float = 0.0

    def note(self, now: float, size: float) -> None:
        """One answer, by one of warm servers of this size in all."""
        self.answers = self._faded(now) + 1 / size
        self.noted_at = now

    def rate(self, now: float, least: float) -> float:
        """Nothing at first: a router that has just started has seen no server bear anything."""
        age = max(now - self.since, least)
        return self._faded(now) / (self.memory * -math.expm1(-age / self.memory))

    def _faded(self, now: float) -> float:
        return self.answers * math.exp((self.noted_at - now) / self.memory)


@dataclass(slots=True)
class Budget:
    """A router's own part of what a cold server may be sent in any window, counted over all that is sent."""

    draw: float  # from 0 to 1, by chance: parts below one call would else be nothing at every router, or one
    sent: list[float] = field(default_factory=list)

    def note(self, now: float, window: float) -> None:
        self.sent = [*(t for t in self.sent if now - t < window), now]

    def spent(self, settings: Settings, entry: Endpoint, bears: float, now: float) -> bool:
        """Whether one call more would go beyond it; `bears` is what a warm server like it answers us."""
        window, routers = settings.overload_window, settings.router_count
        share = present_share(settings, entry, now - window)  # the least within the window that ends now
        calls = settings.overload_multiple * share * bears * window
        chance = (2 * math.sqrt(calls * routers) + 2) / routers  # our part of what is put down to chance
        return sum(now - t < window for t in self.sent) + self.draw > calls + chance
