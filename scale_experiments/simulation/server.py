"""What a cache server and the origin have in common: cores, and a bounded queue in front of them."""

from __future__ import annotations

from collections import deque

from cache_router.endpoint import Endpoint
from scale_experiments.simulation.network import Location
from scale_experiments.simulation.requests import Attempt


class SimulatedServer:
    """A server as the routers and the network see it."""

    __slots__ = (
        "busy_cores",
        "cores",
        "endpoint",
        "is_always_reachable",
        "is_up",
        "location",
        "name",
        "queue",
        "queue_capacity",
    )

    def __init__(self, endpoint: Endpoint, location: Location, cores: int, queue_capacity: int) -> None:
        self.endpoint = endpoint
        self.name = endpoint.name
        self.location = location
        self.cores = cores  # 0: as many as are needed
        self.queue_capacity = queue_capacity
        self.is_up = True
        self.is_always_reachable = False  # also from regions that are isolated
        self.busy_cores = 0
        self.queue: deque[Attempt] = deque()

    @property
    def has_free_core(self) -> bool:
        """Whether an attempt can be served at once."""
        return not self.cores or self.busy_cores < self.cores
