"""Common base of the modelled cache servers and the origin: cores with a bounded queue."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque

from cache_router.endpoint import Endpoint
from scale_experiments.simulation.context import SimulationContext
from scale_experiments.simulation.network import Location
from scale_experiments.simulation.requests import Attempt


class SimulatedServer(ABC):
    """A server with an endpoint, a location, a number of cores and a bounded queue of attempts."""

    __slots__ = (
        "_busy_cores",
        "_context",
        "_cores",
        "_queue",
        "_queue_capacity",
        "endpoint",
        "is_always_reachable",
        "is_up",
        "location",
        "name",
    )

    def __init__(
        self,
        context: SimulationContext,
        endpoint: Endpoint,
        location: Location,
        *,
        cores: int,
        queue_capacity: int,
        is_always_reachable: bool = False,
    ) -> None:
        self._context = context
        self.endpoint = endpoint
        self.name = endpoint.name
        self.location = location
        self.is_up = True
        self.is_always_reachable = is_always_reachable  # whether isolated regions reach it too
        self._cores = cores  # 0 is unlimited
        self._busy_cores = 0
        self._queue: deque[Attempt] = deque()
        self._queue_capacity = queue_capacity

    def _serve_or_queue(self, attempt: Attempt) -> bool:
        """Serve an attempt at once or queue it; return False if no core is idle and the queue is full."""
        if not self._cores or self._busy_cores < self._cores:
            self._start_service(attempt)
        elif len(self._queue) < self._queue_capacity:
            self._queue.append(attempt)
        else:
            return False
        return True

    def _start_service(self, attempt: Attempt) -> None:
        self._busy_cores += 1
        self._serve(attempt)

    @abstractmethod
    def _serve(self, attempt: Attempt) -> None:
        """Serve an attempt on the core that was assigned to it, and schedule the release of the core."""

    def _release_core(self) -> None:
        """Release a core after a service, and assign it to the first attempt in the queue."""
        self._busy_cores -= 1
        if self._queue:
            self._start_service(self._queue.popleft())

    def _discard_attempts(self) -> None:
        """Discard the attempts that are being served or queued."""
        self._queue.clear()
        self._busy_cores = 0

    def _is_reachable_from(self, attempt: Attempt) -> bool:
        """Return whether messages pass between the attempt's router and this server now."""
        return self._context.network.is_reachable(attempt.sender.location, self)

    def _one_way_latency(self, attempt: Attempt) -> float:
        """Return the one-way latency between the attempt's router and this server, in seconds."""
        return self._context.network.one_way_latency(attempt.sender.location, self.location)
