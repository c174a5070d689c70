"""The endpoint list: the listed servers, their readiness and sizes, and the hash ring of the caches."""

import math
from collections.abc import Iterable

from cache_router.decisions.events import EndpointUpdate, EndpointUpdateKind
from cache_router.decisions.hash_ring import HashRing
from cache_router.decisions.server import Server
from cache_router.endpoint import Endpoint, EndpointState
from cache_router.settings import Settings

# Virtual nodes per unit of size. With 128, the shares of keys of equal servers deviate from the mean by about
# 10 %.
POINTS_PER_UNIT = 128


class EndpointList:
    """The listed servers by name. `ring` holds the caches that are ready; origin members are never on it."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._largest_size = 1.0
        self._max_weight_by_kind: dict[str, float] = {}
        self.servers: dict[str, Server] = {}
        self.ring: HashRing[Server] = HashRing()
        self.caches: list[Server] = []  # ready caches only
        self.origins: list[Server] = []  # ready origin members only
        self.total_size = 0.0  # sum of the sizes of `caches`
        self.mean_reported_load = 0.0  # mean over `caches`; stays 0 without live weights

    def is_listed(self, server: Server) -> bool:
        """Return whether this incarnation of the server is on the list."""
        return self.servers.get(server.endpoint.name) is server

    def least_loaded_origin(self) -> Server | None:
        """Return the ready origin member with the fewest attempts in flight, or None when none is ready."""
        return min(self.origins, key=lambda server: server.concurrency.in_flight, default=None)

    def apply(self, update: EndpointUpdate) -> bool:
        """Apply an update; return False for an empty delta, which changes nothing."""
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
        self._update_sizes_and_ring(server for server in changed.values() if self.is_listed(server))
        return True

    def _add_or_update(self, endpoint: Endpoint) -> Server:
        known = self.servers.get(endpoint.name)
        if known is not None and endpoint.started_at <= known.endpoint.started_at:
            known.update_endpoint(endpoint)
            return known
        self._remove(endpoint.name)  # the state of an earlier incarnation does not apply to the new one
        is_origin = self._settings.cache_aside and endpoint.kind == self._settings.origin_kind
        server = self.servers[endpoint.name] = Server(endpoint, not is_origin)
        return server

    def _remove(self, name: str) -> None:
        if name in self.servers:
            self.ring.place(name, self.servers.pop(name), 0)

    def _update_sizes_and_ring(self, changed: Iterable[Server]) -> None:
        """Update the sizes and ring points of the changed servers, and the totals.

        The number of points of a server depends only on its size and on the unit of size. Servers that join
        or leave therefore move no points of other servers, and only the changed servers are placed again. All
        servers are placed again when the largest size has changed, and on each update where weights are live.
        """
        self._update_ready_servers()
        if self._settings.live_weights:
            self._record_live_weights()
        if self._update_largest_size() or self._settings.live_weights:
            changed = self.servers.values()
        unit = 2.0 ** math.ceil(math.log2(self._largest_size))  # a power of two changes rarely
        self._place_servers(changed, unit)
        self._update_totals()

    def _update_ready_servers(self) -> None:
        ready = [server for server in self.servers.values() if server.endpoint.is_ready]
        self.caches = [server for server in ready if server.is_cache]
        self.origins = [server for server in ready if not server.is_cache]

    def _record_live_weights(self) -> None:
        """Use the largest live weight seen for each type of machine as the size of its servers.

        Live weights fall with load and arrive late. If the number of points followed them, each update would
        move keys.
        """
        for server in self.caches:
            endpoint = server.endpoint
            largest = max(self._max_weight_by_kind.get(endpoint.kind, 0.0), endpoint.weight)
            self._max_weight_by_kind[endpoint.kind] = largest
            server.record_live_weight(largest)

    def _update_largest_size(self) -> bool:
        """Update the largest size of any ready cache; return whether it has changed.

        It is the size assigned to servers whose weight is not known. It is 1 when no weight is known.
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
