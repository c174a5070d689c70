"""Backoff from overloaded servers, by the load report in their answers.

Requests that queue beyond their latency objective are work done for nobody. One router of many meets a server
too seldom to see the queue in its own attempts: it trusts the report, and sends nothing until the queue is
worked off. Jitter keeps the routers from coming back in step.
"""

import math
import random
from dataclasses import dataclass

from cache_router.decisions.events import AttemptCompleted, AttemptStatus
from cache_router.decisions.fleet_health import SMOOTHING
from cache_router.settings import Settings

OVERLOAD_SHARE = 0.5  # of the shortest latency objective: a queueing delay from which a server is overloaded
SERVER_CONCURRENCY = 4.0  # requests that a server works on at once, about
BACKOFF_JITTER = (0.75, 1.25)


@dataclass(slots=True, eq=False)
class OverloadState:
    """Until when one server is left alone, in seconds on the router's clock."""

    backoff_until: float = -math.inf


@dataclass(slots=True)
class OverloadBackoff:
    """Decides how long an overloaded server is left alone."""

    settings: Settings
    shortest_latency_objective: float  # seconds
    generator: random.Random
    baseline_service_time: float = 0.0  # seconds; smoothed, of servers without a queue

    def record(self, state: OverloadState, is_cache: bool, event: AttemptCompleted, now: float) -> None:
        """Learn from the load report of an answer, or from a timeout."""
        report = event.load_report
        if report is not None:
            delay = report.service_time * (1 + report.queue_length / SERVER_CONCURRENCY)
            if report.queue_length < 1:
                self.baseline_service_time += SMOOTHING * (report.service_time - self.baseline_service_time)
        else:
            delay = event.latency if event.status is AttemptStatus.TIMEOUT else 0.0
        if is_cache and delay > OVERLOAD_SHARE * self.shortest_latency_objective:
            state.backoff_until = now + self._backoff(delay)

    def _backoff(self, delay: float) -> float:
        """Long enough that all routers together send what a server can take; no longer than a slow start.

        Without that bound a large fleet would leave a server alone for minutes.
        """
        fleet_round = self.settings.router_count * self.baseline_service_time
        backoff = max(fleet_round, min(self.settings.slow_start_duration / 2, delay))
        return min(backoff, self.settings.slow_start_duration) * self.generator.uniform(*BACKOFF_JITTER)
