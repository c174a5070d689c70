"""One cache server: listens at its address and determines the response to each request."""

from __future__ import annotations

import asyncio

from scale_experiments.emulators.cache.cluster import CacheCluster
from scale_experiments.emulators.cache.connection import CacheConnection
from scale_experiments.emulators.cache.statistics import CacheStatistics
from scale_experiments.emulators.messages.caches import CacheCounters, CacheMode, CacheSettings

LISTEN_BACKLOG = 512
MISS_RESPONSE = b"*3\r\n$-1\r\n$4\r\nmiss\r\n"  # the third element, the load report, is appended on sending


class CacheServer:
    """A cache server at `address`, with its keys, connections and counts."""

    def __init__(self, cluster: CacheCluster, name: str, address: tuple[str, int]) -> None:
        self.name = name
        self._cluster = cluster
        self._address = address
        self._mode: CacheMode = "serve"
        self._keys = cluster.add_cache()
        self._connections: dict[CacheConnection, None] = {}  # connections in the order of their acceptance
        self._listener: asyncio.Server | None = None
        self._statistics = CacheStatistics()
        self._pending_requests = 0  # admitted requests whose service time has not passed

    @property
    def settings(self) -> CacheSettings:
        """Settings shared by all cache servers of the process."""
        return self._cluster.settings

    @property
    def is_hanging(self) -> bool:
        """Whether requests are read and never answered."""
        return self._mode == "hang"

    async def listen(self) -> None:
        """Accept connections.

        Raises:
            OSError: The address cannot be used.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: CacheConnection(self), *self._address, backlog=LISTEN_BACKLOG, reuse_address=True
        )

    async def set_mode(self, mode: CacheMode) -> None:
        """Switch to a mode; any mode but "dead" restarts a dead cache server.

        Raises:
            OSError: A dead cache server cannot listen again at its address.
        """
        if mode == "dead":
            self._stop()
        elif self._listener is None:
            await self.listen()
        self._mode = mode

    def _stop(self) -> None:
        """Reset all connections, refuse new ones and remove all keys."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self._connections):
            connection.abort()
        self._keys.clear()

    def on_connected(self, connection: CacheConnection) -> bool:
        """Add a connection; return whether it exceeds the connection limit."""
        self._connections[connection] = None
        open_connections = len(self._connections)
        is_over_limit = open_connections > self.settings.max_connections
        self._statistics.on_connected(open_connections, is_over_limit=is_over_limit)
        return is_over_limit

    def on_disconnected(self, connection: CacheConnection, unsent_responses: int) -> None:
        """Remove a connection; its unsent responses are no longer pending."""
        self._pending_requests -= unsent_responses
        self._connections.pop(connection, None)

    def handle_read(self, key: bytes, request_id: bytes, *, is_over_limit: bool) -> bytes | None:
        """Handle a read; return its response without the load report, or None if it is rejected."""
        # the lookup precedes the rejection: a rejected read also makes its key the most recently used one
        is_hit = self._keys.contains(key)
        return self._handle_request(request_id, is_hit=is_hit, is_over_limit=is_over_limit)

    def handle_write(self, request_id: bytes, *, is_over_limit: bool) -> bytes | None:
        """Handle a write as a miss, because only the origin executes writes; return as `handle_read` does."""
        return self._handle_request(request_id, is_hit=False, is_over_limit=is_over_limit)

    def _handle_request(self, request_id: bytes, *, is_hit: bool, is_over_limit: bool) -> bytes | None:
        if is_over_limit or self._mode == "drain":
            self._statistics.on_rejected()
            return None
        if is_hit:
            self._statistics.on_hit()
            value = self._cluster.value_for(request_id)
            return b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n" % (len(value), value)
        self._statistics.on_miss()
        self._cluster.on_miss(request_id, self._keys)
        return MISS_RESPONSE

    def on_response_queued(self) -> None:
        """Count a request as pending."""
        self._pending_requests += 1

    def on_response_due(self) -> None:
        """Count a request as no longer pending, because its service time has passed."""
        self._pending_requests -= 1

    def load_report(self) -> bytes:
        """Return the load report: the service time in milliseconds, and the number of pending requests."""
        return b"svc_ms=%.1f,pending=%d" % (self.settings.service_s * 1000, self._pending_requests)

    def sample_connections(self) -> None:
        """Record a sample of the number of open connections."""
        self._statistics.on_sample(len(self._connections))

    def counters(self) -> CacheCounters:
        """Return the counts since the start."""
        return self._statistics.counters(len(self._connections))
