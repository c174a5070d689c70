"""The endpoint list: which servers there are, which are ready, and where they stand on the hash ring."""

import math
from collections.abc import Iterable

from cache_router.decisions.events import EndpointUpdate, EndpointUpdateKind
from cache_router.decisions.hash_ring import HashRing
from cache_router.decisions.server import Server
from cache_router.endpoint import Endpoint, EndpointState
from cache_router.settings import Settings

POINTS_PER_UNIT = 128  # virtual nodes for the unit of weight: shares of keys are even within a tenth or so


class EndpointList:
    """The servers of the endpoint list; `ring` holds the caches that are ready, and never the origin."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._largest_weight = 1.0
        self._largest_of_kind: dict[str, float] = {}
        self.servers: dict[str, Server] = {}
        self.ring: HashRing[Server] = HashRing()
        self.caches: list[Server] = []  # those that are ready
        self.origins: list[Server] = []  # those that are ready
        self.total_size = 0.0  # of the caches
        self.mean_reported_load = 0.0  # of the caches

    def is_listed(self, server: Server) -> bool:
        """Whether this incarnation of a server is on the list."""
        return self.servers.get(server.endpoint.name) is server

    def least_loaded_origin(self) -> Server | None:
        """The origin member with the fewest attempts in flight, None when none is ready."""
        return min(self.origins, key=lambda server: server.concurrency.in_flight, default=None)

    def apply(self, update: EndpointUpdate) -> bool:
        """Take an update; False when it changes nothing."""
        if update.kind is not EndpointUpdateKind.DELTA:
            for name in self.servers.keys() - {endpoint.name for endpoint in update.endpoints}:
                self._remove(name)
        changed: dict[str, Server] = {}
        for endpoint in update.endpoints:
            if endpoint.state is EndpointState.REMOVED:
                self._remove(endpoint.name)
            else:
                changed[endpoint.name] = self._add_or_update(endpoint)
        if update.kind is EndpointUpdateKind.DELTA and not update.endpoints:
            return False
        self._place(server for server in changed.values() if self.is_listed(server))
        return True

    def _add_or_update(self, endpoint: Endpoint) -> Server:
        known = self.servers.get(endpoint.name)
        if known is not None and endpoint.started_at <= known.endpoint.started_at:
            known.endpoint = endpoint
            return known
        self._remove(endpoint.name)  # a new process: nothing learned of the old one holds
        is_origin = self._settings.cache_aside and endpoint.kind == self._settings.origin_kind
        server = self.servers[endpoint.name] = Server(endpoint, not is_origin)
        return server

    def _remove(self, name: str) -> None:
        if name in self.servers:
            self.ring.place(name, self.servers.pop(name), 0)

    def _place(self, changed: Iterable[Server]) -> None:
        """Give each server that changed its points.

        The number of points follows from a server's size alone, so that others that come or go move none of
        them, and an update costs what it changes.
        """
        ready = [server for server in self.servers.values() if server.endpoint.is_ready]
        self.caches = [server for server in ready if server.is_cache]
        self.origins = [server for server in ready if not server.is_cache]
        live_weights = self._settings.live_weights
        if live_weights:
            changed = self.servers.values()
            self._learn_live_weights()
            weights = [server.size for server in self.caches]
        else:
            weights = [server.endpoint.weight for server in self.caches]
        largest = max(weights, default=0.0) or 1.0  # also what a missing weight counts as
        if largest != self._largest_weight:
            changed = self.servers.values()
            self._largest_weight = largest
        unit = 2.0 ** math.ceil(math.log2(largest))  # a power of two seldom changes with the fleet
        for server in changed:
            server.size = (server.size if live_weights else server.endpoint.weight) or largest
            is_on_ring = server.is_cache and server.endpoint.is_ready
            points = math.ceil(POINTS_PER_UNIT * server.size / unit) if is_on_ring else 0
            self.ring.place(server.endpoint.name, server, points)
        self.total_size = sum(server.size for server in self.caches)
        if live_weights:
            reported = sum(server.reported_load for server in self.caches)
            self.mean_reported_load = reported / max(1, len(self.caches))

    def _learn_live_weights(self) -> None:
        """Take the largest weight seen of a machine's kind as its size.

        Live weights fall with load and arrive late: on the ring they would move keys with every update.
        """
        for server in self.caches:
            kind, weight = server.endpoint.kind, server.endpoint.weight
            server.size = max(self._largest_of_kind.get(kind, 0.0), weight)
            self._largest_of_kind[kind] = server.size
            server.reported_load = server.size / weight - 1 if weight else 0.0
