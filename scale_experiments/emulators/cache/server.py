"""One page cache: its keys, its connections and its counts."""

from __future__ import annotations

import asyncio
from collections import OrderedDict

from scale_experiments.emulators.cache.cluster import CacheCluster
from scale_experiments.emulators.cache.connection import CacheConnection
from scale_experiments.emulators.messages.caches import CacheCounters, CacheMode

BACKLOG = 512


class Cache:
    """One page cache: its keys, its connections and its counts."""

    def __init__(self, cluster: CacheCluster, name: str, address: tuple[str, int]) -> None:
        self.cluster = cluster
        self.name = name
        self.address = address
        self.mode: CacheMode = "serve"
        self.warm = cluster.settings.warm
        self.keys: OrderedDict[bytes, None] = OrderedDict()  # that the cache has; if warm, that it lacks
        self.connections: dict[CacheConnection, None] = {}
        self.server: asyncio.Server | None = None
        self.accepted = self.handshakes = self.requests = self.hits = self.misses = self.rejected = 0
        self.waiting = self.max_open = 0
        self.open_sum = 0.0

    async def listen(self) -> None:
        """Accept connections; raises OSError if the address can't be used."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: CacheConnection(self), *self.address, backlog=BACKLOG, reuse_address=True
        )

    def contains(self, key: bytes) -> bool:
        """Whether the cache has a key; makes it the one used last."""
        if self.warm:
            return key not in self.keys
        if key in self.keys:
            self.keys.move_to_end(key)
            return True
        return False

    def store(self, key: bytes) -> None:
        """Store a key; the one used longest ago goes if there are too many."""
        if self.warm:
            self.keys.pop(key, None)
        else:
            self.keys[key] = None
            if len(self.keys) > self.cluster.settings.max_keys:
                self.keys.popitem(last=False)

    def remove(self, key: bytes) -> None:
        """Remove a key."""
        if self.warm:
            self.keys[key] = None
        else:
            self.keys.pop(key, None)

    def report(self) -> bytes:
        """The load report of a reply."""
        return b"svc_ms=%.1f,pending=%d" % (self.cluster.settings.service_s * 1000, self.waiting)

    def counters(self) -> CacheCounters:
        """Counts since the start."""
        return CacheCounters(
            accepted=self.accepted,
            handshakes=self.handshakes,
            requests=self.requests,
            hits=self.hits,
            misses=self.misses,
            rejected=self.rejected,
            open_sum=self.open_sum,
            max_open=self.max_open,
            open=len(self.connections),
        )

    async def set_mode(self, mode: CacheMode) -> None:
        """Behave in another way from now on; raises OSError where a dead cache can't listen again."""
        if mode == "dead":
            if self.server is not None:
                self.server.close()
                self.server = None
            for connection in list(self.connections):
                connection.transport.abort()
            self.keys.clear()
            self.warm = False
        elif self.server is None:
            await self.listen()
        self.mode = mode
