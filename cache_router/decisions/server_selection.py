"""Choosing the cache for a key: a walk on the hash ring with bounded loads.

Each key goes to the first server clockwise of its hash; the walk goes on past servers whose load has reached
(1 + epsilon) times the average ("Consistent Hashing with Bounded Loads"), and past those that may not be sent
to now.
"""

import random
from dataclasses import dataclass
from itertools import islice

from cache_router.decisions.endpoints import EndpointList
from cache_router.decisions.fleet_health import FleetHealth
from cache_router.decisions.hash_ring import ring_hash
from cache_router.decisions.key_popularity import KeyPopularity
from cache_router.decisions.pending_request import PendingRequest
from cache_router.decisions.retry_policy import RetryPolicy
from cache_router.decisions.server import Server
from cache_router.decisions.slow_start import SlowStart

EPSILON = 0.25  # a server may stand this far above the average load before the walk passes it
MAX_POINTS_VISITED = 64  # no tour of the whole fleet for each request when all servers are loaded
MAX_LOADED_SERVERS = 2  # further on servers lack the key, and the overflow of hits would turn into misses


@dataclass(slots=True)
class ServerSelector:
    """Chooses a cache by the state that the other parts keep of it."""

    endpoints: EndpointList
    slow_start: SlowStart
    health: FleetHealth
    retry_policy: RetryPolicy
    popularity: KeyPopularity
    silence_timeout: float  # seconds
    generator: random.Random

    def choose(self, pending: PendingRequest, now: float) -> Server | None:
        """The server for the request's next attempt, None when none may take it.

        A popular key's load flows clockwise, and each server keeps (1 + epsilon) fair shares of it. When all
        are over the cap the first is as good as any, and likelier to have the key.
        """
        request = pending.request
        key = request.key if request.key is not None else request.request_id
        endpoints = self.endpoints
        flow = self.generator.random() * self.popularity.count(key, len(endpoints.caches), now)
        cap = (1 + EPSILON) * max(1.0, endpoints.mean_reported_load)
        visited: set[Server] = set()
        loaded = 0
        first: Server | None = None
        for server, rank in islice(endpoints.ring.walk(ring_hash(key)[0]), MAX_POINTS_VISITED):
            share = self.slow_start.usable_share(server.endpoint, self.health.success_rate, now)
            # all routers leave out the same points of a warming server, and no other load overflows to it
            if rank > share or server in visited or (share < 1 and visited):
                continue
            visited.add(server)
            if self.is_eligible(pending, server, now):
                first = first or server
                flow -= (1 + EPSILON) * share * server.size / endpoints.total_size
                # by chance, as all routers read the same late load
                if flow <= 0 and server.reported_load * self.generator.random() <= cap:
                    return server
            elif self._is_loaded(server, now):
                loaded += 1
                if loaded >= MAX_LOADED_SERVERS:
                    break
        return first

    def is_eligible(self, pending: PendingRequest, server: Server, now: float) -> bool:
        """Whether a server may be sent the request now."""
        concurrency = server.concurrency
        if not server.failures.admits(concurrency.in_flight, now):
            return False
        if now < server.overload.backoff_until or not concurrency.has_capacity():
            return False
        if concurrency.in_flight and concurrency.is_silent(now, self.silence_timeout):
            return False
        is_repeated = any(attempt.server is server for attempt in pending.attempts)
        if is_repeated or self.slow_start.is_quota_used_up(server, now):
            return False
        return self.retry_policy.permits_attempt(pending, server, now)

    def _is_loaded(self, server: Server, now: float) -> bool:
        """Whether load, and not a fault, keeps the request from a server."""
        if now < server.overload.backoff_until:
            return True
        concurrency = server.concurrency
        return not concurrency.has_capacity() and not concurrency.is_silent(now, self.silence_timeout)
