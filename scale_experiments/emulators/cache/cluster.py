"""What all page caches of a process share: settings, and the misses that wait for the origin; no I/O."""

from __future__ import annotations

from collections import OrderedDict

from scale_experiments.emulators.cache.keys import CachedKeys
from scale_experiments.emulators.messages.caches import CacheSettings

MAX_PENDING_MISSES = 50_000  # a request that a router never forwarded to the origin would stay forever


class CacheCluster:
    """The settings of all caches, their keys, and the caches at which each request missed."""

    def __init__(self, settings: CacheSettings) -> None:
        self.settings = settings
        self.value = b"v" * settings.value_bytes  # the same for every key
        self._keys_of_caches: list[CachedKeys] = []
        self._pending_misses: OrderedDict[bytes, list[CachedKeys]] = OrderedDict()  # by the request's id

    @property
    def pending_misses(self) -> int:
        """How many requests missed and have no answer of the origin yet."""
        return len(self._pending_misses)

    def add_cache(self) -> CachedKeys:
        """Add a cache, from which written keys are removed; returns its keys."""
        keys = CachedKeys(warm=self.settings.warm, max_keys=self.settings.max_keys)
        self._keys_of_caches.append(keys)
        return keys

    def on_miss(self, request_id: bytes, keys: CachedKeys) -> None:
        """Record at which cache a request missed, until the origin answers it.

        The oldest request is dropped where more than `MAX_PENDING_MISSES` wait.
        """
        self._pending_misses.setdefault(request_id, []).append(keys)
        if len(self._pending_misses) > MAX_PENDING_MISSES:
            self._pending_misses.popitem(last=False)

    def on_fetched(self, key: bytes, request_id: bytes, is_write: bool) -> None:
        """Store a fetched key at the caches that missed it, or remove a written key from all caches."""
        caches_that_missed = self._pending_misses.pop(request_id, ())
        if is_write:
            for keys in self._keys_of_caches:
                keys.remove(key)
        else:
            for keys in caches_that_missed:
                keys.store(key)
