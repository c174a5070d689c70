"""Model of the origin.

Connections to the origin are not modelled: routers reuse them, and no statistics count them.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from cache_router.decisions.events import AttemptStatus
from cache_router.endpoint import Endpoint
from scale_experiments.simulation.cache_server import CacheServer
from scale_experiments.simulation.context import SimulationContext
from scale_experiments.simulation.model import ORIGIN
from scale_experiments.simulation.network import Location
from scale_experiments.simulation.requests import Attempt, PendingRequest
from scale_experiments.simulation.server import SimulatedServer
from scale_experiments.simulation.statistics import CountedEvent

MAX_FILLED_CACHES = 2  # maximum number of cache servers in which a router stores a key after misses


class Origin(SimulatedServer):
    """The origin, in the first zone. It serves each attempt that it does not reject."""

    __slots__ = ("_caches",)

    def __init__(self, context: SimulationContext, caches: Mapping[str, CacheServer]) -> None:
        model = context.model
        mean_seconds = sum(model.origin_service_time) / 2
        queue_capacity = math.ceil(model.origin_max_queueing_time * model.origin_cores / mean_seconds)
        endpoint = Endpoint("s-origin", kind=ORIGIN, zone="z0", weight=1.0)
        super().__init__(
            context,
            endpoint,
            Location(0, 0),
            cores=model.origin_cores,
            queue_capacity=queue_capacity,
            is_always_reachable=model.origin_always_reachable,
        )
        self._caches = caches

    def start(self, attempt: Attempt) -> None:
        """Serve, queue or reject an attempt; connecting to an unreachable origin times out."""
        context = self._context
        context.statistics.count(CountedEvent.ORIGIN_ATTEMPT)
        if not self._is_reachable_from(attempt):
            self._finish_after(context.settings.connect_timeout, attempt, AttemptStatus.CONNECT_FAILED)
        elif not self._serve_or_queue(attempt):
            self._finish_after(self._round_trip(attempt), attempt, AttemptStatus.REJECTED)

    def _finish_after(self, delay: float, attempt: Attempt, status: AttemptStatus) -> None:
        self._context.events.schedule(delay, attempt.sender.finish, attempt, status)

    def _round_trip(self, attempt: Attempt) -> float:
        return 2 * self._one_way_latency(attempt)

    def _serve(self, attempt: Attempt) -> None:
        events = self._context.events
        seconds = self._context.random.uniform(*self._context.model.origin_service_time)
        events.schedule(seconds, self._release_core)
        events.schedule(seconds + self._round_trip(attempt), self._deliver, attempt)

    def _deliver(self, attempt: Attempt) -> None:
        if attempt.is_finished or not self._is_reachable_from(attempt):
            return
        if self._context.model.cached_objects:
            self._update_caches(attempt.request)
        attempt.sender.finish(attempt, AttemptStatus.OK)

    def _update_caches(self, request: PendingRequest) -> None:
        key = request.client_request.key
        if request.client_request.is_write:
            for cache in self._caches.values():
                cache.cached_keys.invalidate(key)
        for name in request.caches_without_key[:MAX_FILLED_CACHES]:
            cache = self._caches[name]
            if cache.is_up:
                cache.cached_keys.store(key)
