"""What all caches of the process share."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from scale_experiments.emulators.messages.caches import CacheSettings

if TYPE_CHECKING:
    from scale_experiments.emulators.cache.server import Cache

MAX_PENDING_MISSES = 50_000  # requests that missed and wait for the origin


class CacheCluster:
    """The settings that all caches of the process share, and the misses that wait for the origin."""

    def __init__(self, settings: CacheSettings) -> None:
        self.settings = settings
        self.value = b"v" * settings.value_bytes
        # by the request's id: the caches at which it missed
        self.pending_misses: OrderedDict[bytes, list[Cache]] = OrderedDict()

    def on_fetched(self, key: bytes, request_id: bytes, is_write: bool, caches: list[Cache]) -> None:
        """Store a fetched key at the caches that missed it, or remove a written key from all."""
        if is_write:
            for cache in caches:
                cache.remove(key)
        for cache in self.pending_misses.pop(request_id, ()):
            if not is_write:
                cache.store(key)

    def on_miss(self, request_id: bytes, cache: Cache) -> None:
        """Remember where a request missed, until the origin answers it; the oldest are forgotten."""
        self.pending_misses.setdefault(request_id, []).append(cache)
        if len(self.pending_misses) > MAX_PENDING_MISSES:
            self.pending_misses.popitem(last=False)
