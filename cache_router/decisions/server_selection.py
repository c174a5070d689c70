"""Server selection: a walk on the hash ring with bounded loads chooses the cache for a key.

Each key belongs to the first server clockwise of its hash. The walk continues past servers that may not be
sent the request now, and past servers whose load is above a cap. The cap is (1 + epsilon) times the average
load, as in Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads" (2016).
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

EPSILON = 0.25  # the load of a server may exceed the average by this share before the walk passes the server
MAX_POINTS_VISITED = 64  # bounds the cost of a request when no server is eligible
MAX_LOADED_SERVERS = 2  # servers beyond these lack the key: overflow would turn hits into misses


@dataclass(slots=True)
class ServerSelector:
    """Chooses a cache by the state that the other decisions keep of it."""

    endpoints: EndpointList
    slow_start: SlowStart
    health: FleetHealth
    retry_policy: RetryPolicy
    popularity: KeyPopularity
    silence_timeout: float  # seconds
    generator: random.Random

    def choose(self, pending: PendingRequest, now: float) -> Server | None:
        """The server for the request's next attempt, None when no server may take it.

        The load of a popular key is spread over as many servers clockwise as it needs. The request takes a
        random place within that load, and with it one of these servers.
        """
        request = pending.request
        key = request.key if request.key is not None else request.request_id
        key_share = self.popularity.count(key, len(self.endpoints.caches), now)
        load_before = self.generator.random() * key_share
        return self._walk(pending, ring_hash(key)[0], load_before, now)

    def _walk(self, pending: PendingRequest, position: int, load_before: float, now: float) -> Server | None:
        """The first eligible server clockwise of `position` beyond `load_before`, a share of all requests.

        Each eligible server takes a part of the key's load: (1 + epsilon) times the server's share of the
        fleet's size. When every server is above the cap the first eligible one is returned, which is the most
        likely to have the key.
        """
        endpoints = self.endpoints
        success_rate = self.health.success_rate
        load_cap = (1 + EPSILON) * max(1.0, endpoints.mean_reported_load)
        visited: set[Server] = set()
        loaded_count = 0
        first_eligible: Server | None = None
        for server, rank in islice(endpoints.ring.walk(position), MAX_POINTS_VISITED):
            if server in visited:
                continue
            usable_share = self.slow_start.usable_share(server.endpoint, success_rate, now)
            # all routers leave out the same points of a warming server, and no other load overflows to it
            if rank > usable_share or (usable_share < 1 and visited):
                continue
            visited.add(server)
            if self.is_eligible(pending, server, now):
                first_eligible = first_eligible or server
                load_before -= (1 + EPSILON) * usable_share * server.size / endpoints.total_size
                # at random, as all routers read the same reported load, and late
                if load_before <= 0 and server.reported_load * self.generator.random() <= load_cap:
                    return server
            elif self._is_loaded(server, now):
                loaded_count += 1
                if loaded_count >= MAX_LOADED_SERVERS:
                    break
        return first_eligible

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
        """Whether load, and not a fault, makes a server ineligible."""
        if now < server.overload.backoff_until:
            return True
        concurrency = server.concurrency
        return not concurrency.has_capacity() and not concurrency.is_silent(now, self.silence_timeout)
