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

        A random part of the expected wait is compared with the time left, so that the share of rejected
        requests grows with the queue.
        """
        drawn_wait = self.generator.random() * self.health.queueing_latency * self._weighted_load(server)
        return drawn_wait > time_left

    def _weighted_load(self, server: Server) -> float:
        """The number of requests whose queueing latencies add up to the expected wait.

        Where weights are live, the endpoint list reports each server's load, whose queue may take only a
        share of the time left. Otherwise queues show only in the router's own latencies, and the load is one.
        """
        if self.settings.live_weights:
            return server.reported_load / MAX_QUEUEING_SHARE
        return 1.0
