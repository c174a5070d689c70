"""Server selection: a walk on the hash ring with bounded loads chooses the cache for a key.

Each key belongs to the first server clockwise of its hash. The walk skips servers that may not be sent the
request now, and servers whose load is above a cap. The cap is (1 + epsilon) times the average load, as in
Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads" (2016). An average load below 1
counts as 1.
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

EPSILON = 0.25  # share by which the load of a server may exceed the average before the walk skips the server
MAX_POINTS_VISITED = 64  # bounds the cost of a request when no server is eligible
# Servers at capacity after which the walk ends. Servers beyond these do not have the key: overflow to them
# would turn hits into misses.
MAX_SERVERS_AT_CAPACITY = 2


@dataclass(slots=True)
class ServerSelector:
    """Chooses the cache for an attempt by the state that the other decisions keep for each cache."""

    endpoints: EndpointList
    slow_start: SlowStart
    health: FleetHealth
    retry_policy: RetryPolicy
    popularity: KeyPopularity
    silence_timeout: float  # seconds
    generator: random.Random

    def choose(self, pending: PendingRequest, now: float) -> Server | None:
        """Return the server for the request's next attempt, or None when no server is eligible.

        The load of a popular key is spread over as many servers clockwise as it needs. A random position
        within that load is drawn for the request, which determines the server among these.
        """
        request = pending.request
        key = request.key if request.key is not None else request.request_id
        key_share = self.popularity.record_request(key, len(self.endpoints.caches), now)
        load_before = self.generator.random() * key_share
        return self._walk(pending, ring_hash(key)[0], load_before, now)

    def _walk(self, pending: PendingRequest, position: int, load_before: float, now: float) -> Server | None:
        """Return the first eligible server clockwise of `position`, after those that serve `load_before`.

        `load_before` is a share of all requests. Each eligible server serves a part of the key's load:
        (1 + epsilon) times the server's share of the fleet's size, times its usable share of points. When the
        load of every server is above the cap, the first eligible server is returned, because it most likely
        has the key.
        """
        endpoints = self.endpoints
        success_rate = self.health.success_rate
        load_cap = (1 + EPSILON) * max(1.0, endpoints.mean_reported_load)
        visited: set[Server] = set()
        at_capacity_count = 0
        first_eligible: Server | None = None
        for server, rank in islice(endpoints.ring.walk(position), MAX_POINTS_VISITED):
            if server in visited:
                continue
            usable_share = self.slow_start.usable_share(server.endpoint, success_rate, now)
            # All routers skip the same points of a warming server. The overflow of servers visited earlier is
            # never sent to a warming server.
            if rank > usable_share or (usable_share < 1 and visited):
                continue
            visited.add(server)
            if self.is_eligible(pending, server, now):
                first_eligible = first_eligible or server
                load_before -= (1 + EPSILON) * usable_share * server.size / endpoints.total_size
                # Randomised, because all routers read the same reported load, which is seconds old: otherwise
                # they would all avoid the server at the same time.
                if load_before <= 0 and server.reported_load * self.generator.random() <= load_cap:
                    return server
            elif self._is_at_capacity(server, now):
                at_capacity_count += 1
                if at_capacity_count >= MAX_SERVERS_AT_CAPACITY:
                    break
        return first_eligible

    def is_eligible(self, pending: PendingRequest, server: Server, now: float) -> bool:
        """Return whether a server may be sent the request now."""
        concurrency = server.concurrency
        if not server.failures.admits(concurrency.in_flight, now):
            return False
        if now < server.overload.backoff_until or not concurrency.has_capacity():
            return False
        if concurrency.in_flight and concurrency.is_silent(now, self.silence_timeout):
            return False
        is_repeated = any(attempt.server is server for attempt in pending.attempts)
        if is_repeated or self.slow_start.is_quota_exhausted(server, now):
            return False
        return self.retry_policy.permits_attempt(pending, server, now)

    def _is_at_capacity(self, server: Server, now: float) -> bool:
        """Return whether an ineligible server is ineligible because of load rather than a fault."""
        if now < server.overload.backoff_until:
            return True
        concurrency = server.concurrency
        return not concurrency.has_capacity() and not concurrency.is_silent(now, self.silence_timeout)
