"""The endpoint list: which servers are listed, which of them are ready, and their points on the hash ring."""

import math
from collections.abc import Iterable

from cache_router.decisions.events import EndpointUpdate, EndpointUpdateKind
from cache_router.decisions.hash_ring import HashRing
from cache_router.decisions.server import Server
from cache_router.endpoint import Endpoint, EndpointState
from cache_router.settings import Settings

POINTS_PER_UNIT = 128  # virtual nodes for the unit of size: shares of keys are even within about a tenth


class EndpointList:
    """The servers of the endpoint list; `ring` has the caches that are ready, and never the origin."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._largest_size = 1.0
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
            known.update_endpoint(endpoint)
            return known
        self._remove(endpoint.name)  # a new incarnation: the state of the earlier one does not apply to it
        is_origin = self._settings.cache_aside and endpoint.kind == self._settings.origin_kind
        server = self.servers[endpoint.name] = Server(endpoint, not is_origin)
        return server

    def _remove(self, name: str) -> None:
        if name in self.servers:
            self.ring.place(name, self.servers.pop(name), 0)

    def _place(self, changed: Iterable[Server]) -> None:
        """Give each server that changed its size and its points.

        The number of points follows from the size of a server and the unit of size alone. So servers that
        join or leave move no points of the others, and the cost of an update depends on what it changes.
        """
        self._update_ready_servers()
        if self._settings.live_weights:
            self._record_live_weights()
        if self._update_largest_size() or self._settings.live_weights:
            changed = self.servers.values()
        unit = 2.0 ** math.ceil(math.log2(self._largest_size))  # a power of two seldom changes with the fleet
        self._place_servers(changed, unit)
        self._update_totals()

    def _update_ready_servers(self) -> None:
        ready = [server for server in self.servers.values() if server.endpoint.is_ready]
        self.caches = [server for server in ready if server.is_cache]
        self.origins = [server for server in ready if not server.is_cache]

    def _record_live_weights(self) -> None:
        """Take the largest weight seen of each type of machine as the size of its servers.

        Live weights fall with load and arrive late. If they set the number of points, each update would move
        keys.
        """
        for server in self.caches:
            endpoint = server.endpoint
            largest = max(self._largest_of_kind.get(endpoint.kind, 0.0), endpoint.weight)
            self._largest_of_kind[endpoint.kind] = largest
            server.record_live_weight(largest)

    def _update_largest_size(self) -> bool:
        """Update the largest size of a ready cache; True when it has changed.

        A server whose weight is not known counts as one of the largest, or of 1 when no weight is known.
        """
        if self._settings.live_weights:
            sizes = [server.size for server in self.caches]
        else:
            sizes = [server.endpoint.weight for server in self.caches]
        largest = max(sizes, default=0.0) or 1.0
        if largest == self._largest_size:
            return False
        self._largest_size = largest
        return True

    def _place_servers(self, servers: Iterable[Server], unit: float) -> None:
        live_weights = self._settings.live_weights
        for server in servers:
            endpoint = server.endpoint
            size = (server.size if live_weights else endpoint.weight) or self._largest_size
            if size != server.size:
                server.resize(size)
            is_on_ring = server.is_cache and endpoint.is_ready
            points = math.ceil(POINTS_PER_UNIT * size / unit) if is_on_ring else 0
            self.ring.place(endpoint.name, server, points)

    def _update_totals(self) -> None:
        self.total_size = sum(server.size for server in self.caches)
        if self._settings.live_weights:
            reported = sum(server.reported_load for server in self.caches)
            self.mean_reported_load = reported / max(1, len(self.caches))
