"""Backoff from overloaded servers, by the load reports in their answers.

A request that queues for longer than its latency objective is work without use. In a large fleet each router
sends too few attempts to a server to see its queue in their latencies. A router therefore relies on the load
report, and sends nothing until the queue has drained. Jitter keeps the routers from returning simultaneously.
"""

import math
import random
from dataclasses import dataclass

from cache_router.decisions.concurrency_limit import MAX_SAMPLE_FACTOR
from cache_router.decisions.events import AttemptCompleted, AttemptStatus
from cache_router.decisions.fleet_health import SMOOTHING
from cache_router.settings import Settings

OVERLOAD_SHARE = 0.5  # of the shortest latency objective: a queueing delay from which a server is overloaded
SERVER_CONCURRENCY = 4.0  # requests that a server processes concurrently, an estimate
BACKOFF_JITTER = (0.75, 1.25)


@dataclass(slots=True, eq=False)
class OverloadState:
    """Until when nothing is sent to one server, in seconds on the router's clock."""

    backoff_until: float = -math.inf

    def back_off_until(self, end: float) -> None:
        """Send nothing before `end`, which replaces an earlier end."""
        self.backoff_until = end


@dataclass(slots=True)
class OverloadBackoff:
    """Decides for how long nothing is sent to an overloaded server."""

    settings: Settings
    shortest_latency_objective: float  # seconds
    generator: random.Random
    baseline_service_time: float = 0.0  # seconds; smoothed, of servers without a queue

    def record(self, state: OverloadState, is_cache: bool, event: AttemptCompleted, now: float) -> None:
        """Take the load report of an answer, or a timeout; back off from a cache that is overloaded."""
        report = event.load_report
        if report is not None:
            if report.queue_length < 1:
                self._update_baseline(report.service_time)
            delay = report.service_time * (1 + report.queue_length / SERVER_CONCURRENCY)
        else:
            delay = event.latency if event.status is AttemptStatus.TIMEOUT else 0.0
        if is_cache and delay > OVERLOAD_SHARE * self.shortest_latency_objective:
            state.back_off_until(now + self._backoff(delay))

    def _update_baseline(self, service_time: float) -> None:
        """Take a sample, at most a multiple of the baseline: one wrong report must not move it far.

        The first sample is bounded by the shortest latency objective, within which no slower server answers.
        """
        baseline = self.baseline_service_time
        longest = MAX_SAMPLE_FACTOR * baseline if baseline else self.shortest_latency_objective
        self.baseline_service_time += SMOOTHING * (min(service_time, longest) - baseline)

    def _backoff(self, delay: float) -> float:
        """Seconds to back off from a server whose answers take `delay` seconds.

        When each router sends one request per backoff, the server has a service time for each of them. The
        queue must also have drained, for which half a slow start is enough. No backoff exceeds a slow start
        before jitter, as a large fleet would otherwise send nothing to a server for minutes.
        """
        fleet_service_time = self.settings.router_count * self.baseline_service_time
        drain_time = min(self.settings.slow_start_duration / 2, delay)
        backoff = min(max(fleet_service_time, drain_time), self.settings.slow_start_duration)
        return backoff * self.generator.uniform(*BACKOFF_JITTER)
