"""Backoff from overloaded servers, based on the load reports in their responses.

Work on a request that was queued for longer than its latency objective is wasted. In a large fleet each
router sends too few attempts to a server to detect its queue from their latencies. A router therefore relies
on the load reports, and sends nothing to an overloaded server until its queue has drained. Jitter keeps the
routers from resuming simultaneously.
"""

import math
import random
from dataclasses import dataclass

from cache_router.decisions.concurrency_limit import MAX_SAMPLE_FACTOR
from cache_router.decisions.events import AttemptCompleted, AttemptStatus
from cache_router.decisions.fleet_health import SMOOTHING
from cache_router.settings import Settings

# A server is overloaded when its responses take longer than this share of the shortest latency objective.
OVERLOAD_SHARE = 0.5
SERVER_CONCURRENCY = 4.0  # requests that a server is assumed to process concurrently
BACKOFF_JITTER = (0.75, 1.25)  # range of the random factor of a backoff


@dataclass(slots=True, eq=False)
class OverloadState:
    """The end of the backoff from one server, in seconds on the router's clock."""

    backoff_until: float = -math.inf

    def back_off_until(self, end: float) -> None:
        """Send nothing before `end`; this replaces the end of an earlier backoff."""
        self.backoff_until = end


@dataclass(slots=True)
class OverloadBackoff:
    """Decides for how long nothing is sent to an overloaded server."""

    settings: Settings
    shortest_latency_objective: float  # seconds
    generator: random.Random
    baseline_service_time: float = 0.0  # seconds; smoothed over servers without a queue

    def record(self, state: OverloadState, is_cache: bool, event: AttemptCompleted, now: float) -> None:
        """Evaluate the load report of a response, or a timeout; back off from an overloaded cache."""
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
        """Add a sample to the smoothed baseline service time.

        A sample is capped at a multiple of the baseline, so that a single wrong report has little effect. The
        first sample is capped at the shortest latency objective, as a slower server would always exceed it.
        """
        baseline = self.baseline_service_time
        max_sample = MAX_SAMPLE_FACTOR * baseline if baseline else self.shortest_latency_objective
        self.baseline_service_time += SMOOTHING * (min(service_time, max_sample) - baseline)

    def _backoff(self, delay: float) -> float:
        """Return the backoff in seconds from a server whose responses take `delay` seconds.

        The backoff has one service time for each router, so that the server can keep up when every router
        sends it one request per backoff. The backoff also lasts until the queue has drained, for which half
        the duration of a slow start is enough. Before jitter it is at most the duration of a slow start, as a
        large fleet would otherwise send nothing to a server for minutes.
        """
        fleet_service_time = self.settings.router_count * self.baseline_service_time
        drain_time = min(self.settings.slow_start_duration / 2, delay)
        backoff = min(max(fleet_service_time, drain_time), self.settings.slow_start_duration)
        return backoff * self.generator.uniform(*BACKOFF_JITTER)
