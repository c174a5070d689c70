"""Admission control: sheds load that would wait longer than its client does."""

import random
from dataclasses import dataclass

from cache_router.decisions.fleet_health import FleetHealth
from cache_router.decisions.server import Server
from cache_router.settings import Settings

MAX_QUEUEING_SHARE = 0.25  # of the time left, that may be spent behind what a server is reported to hold


@dataclass(slots=True)
class AdmissionControl:
    """Rejects by chance, so that queues do not grow until every answer is late."""

    settings: Settings
    health: FleetHealth
    generator: random.Random

    def must_shed(self, server: Server, time_left: float) -> bool:
        """Whether a request with so many seconds left should be rejected rather than sent to a server.

        The queue is that which the endpoint list's live weights report; without these, that which shows in
        this router's own latencies.
        """
        load = server.reported_load / MAX_QUEUEING_SHARE if self.settings.live_weights else 1.0
        return self.generator.random() * self.health.queueing_latency * load > time_left
