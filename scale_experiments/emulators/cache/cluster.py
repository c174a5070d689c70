"""State shared by all cache servers of a process: settings, and misses pending at the origin; no I/O."""

from __future__ import annotations

from collections import OrderedDict

from scale_experiments.emulators.cache.keys import CachedKeys
from scale_experiments.emulators.messages.caches import CacheSettings

# number of requests; without a limit, one that a router never forwards to the origin would stay forever
MAX_PENDING_MISSES = 50_000


class CacheCluster:
    """Settings and keys of all cache servers, and the cache servers at which each pending request missed."""

    def __init__(self, settings: CacheSettings) -> None:
        self.settings = settings
        self._keys_of_caches: list[CachedKeys] = []
        # request id -> keys of the cache servers at which the request missed
        self._pending_misses: OrderedDict[bytes, list[CachedKeys]] = OrderedDict()

    @property
    def pending_misses(self) -> int:
        """Number of requests that missed and that the origin has not answered yet."""
        return len(self._pending_misses)

    def value_for(self, request_id: bytes) -> bytes:
        """Return the value in the response to one request: the end of its id, filled up to the set size."""
        size = self.settings.value_bytes
        return request_id[-size:].ljust(size, b"v")

    def add_cache(self) -> CachedKeys:
        """Add a cache server and return its keys, which `on_origin_response` updates."""
        keys = CachedKeys(warm=self.settings.warm, max_keys=self.settings.max_keys)
        self._keys_of_caches.append(keys)
        return keys

    def on_miss(self, request_id: bytes, keys: CachedKeys) -> None:
        """Record that a request missed at the cache server with these keys, until the origin answers.

        The oldest request is dropped when more than `MAX_PENDING_MISSES` are pending.
        """
        self._pending_misses.setdefault(request_id, []).append(keys)
        if len(self._pending_misses) > MAX_PENDING_MISSES:
            self._pending_misses.popitem(last=False)

    def on_origin_response(self, key: bytes, request_id: bytes, is_write: bool) -> None:
        """Store a read key at the cache servers that missed it, or remove a written key from all of them."""
        caches_that_missed = self._pending_misses.pop(request_id, ())
        if is_write:
            for keys in self._keys_of_caches:
                keys.remove(key)
        else:
            for keys in caches_that_missed:
                keys.store(key)
