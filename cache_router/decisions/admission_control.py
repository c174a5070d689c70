"""Admission control: sheds load that would wait in a server's queue longer than its client allows."""

import random
from dataclasses import dataclass

from cache_router.decisions.fleet_health import FleetHealth
from cache_router.decisions.server import Server
from cache_router.settings import Settings

MAX_QUEUEING_SHARE = 0.25  # share of the time left that a request may spend in a server's reported queue


@dataclass(slots=True)
class AdmissionControl:
    """Rejects a random share of requests, so that queues do not grow until every response is late."""

    settings: Settings
    health: FleetHealth
    generator: random.Random

    def must_shed(self, server: Server, time_left: float) -> bool:
        """Return whether to reject a request that must be answered in `time_left` seconds.

        A random fraction of the expected wait is compared with the time left, so that the share of rejected
        requests grows with the queue.
        """
        drawn_wait = self.generator.random() * self.health.queueing_latency * self._weighted_load(server)
        return drawn_wait > time_left

    def _weighted_load(self, server: Server) -> float:
        """Return the number of requests whose queueing latencies add up to the expected wait.

        Live weights in the endpoint list give the load of each server, whose queue may take only a share of
        the time left. Otherwise queues show only in the router's own latencies, and the load is 1.
        """
        if self.settings.live_weights:
            return server.reported_load / MAX_QUEUEING_SHARE
        return 1.0
