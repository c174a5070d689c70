"""Admission control: sheds load that would wait in a server's queue longer than its client allows."""

import random
from dataclasses import dataclass

from cache_router.decisions.fleet_health import FleetHealth
from cache_router.decisions.server import Server
from cache_router.settings import Settings

MAX_QUEUEING_SHARE = 0.25  # of the time left, that may pass in the queue that a server is reported to have


@dataclass(slots=True)
class AdmissionControl:
    """Rejects a random share of requests, so that queues do not grow until every answer is late."""

    settings: Settings
    health: FleetHealth
    generator: random.Random

    def must_shed(self, server: Server, time_left: float) -> bool:
        """Whether to reject a request that must be answered in `time_left` seconds, rather than send it.

        The wait is drawn evenly from zero to the longest expected, so that the share of rejected requests
        grows with the queue.
        """
        drawn_wait = self.generator.random() * self.health.queueing_latency * self._queue_factor(server)
        return drawn_wait > time_left

    def _queue_factor(self, server: Server) -> float:
        """The longest wait at a server, as a multiple of the queueing latency of all caches.

        Where weights are live, the endpoint list reports each server's load. Otherwise the queues show only
        in this router's own latencies, from which the queueing latency is smoothed.
        """
        if self.settings.live_weights:
            return server.reported_load / MAX_QUEUEING_SHARE
        return 1.0
