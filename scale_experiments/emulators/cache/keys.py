"""The keys that a page cache has stored; no I/O."""

from __future__ import annotations

from collections import OrderedDict


class CachedKeys:
    """The keys of one cache.

    A cache that starts warm has every key, so only those that it lacks are recorded, without a limit. A cache
    that starts empty has at most `max_keys` keys and evicts the least recently used one.
    """

    def __init__(self, *, warm: bool, max_keys: int) -> None:
        self._is_warm = warm
        self._max_keys = max_keys
        self._keys: OrderedDict[bytes, None] = OrderedDict()  # that a warm cache lacks, or another one has

    def contains(self, key: bytes) -> bool:
        """Whether the cache has a key, which becomes the most recently used one."""
        if self._is_warm:
            return key not in self._keys
        if key in self._keys:
            self._keys.move_to_end(key)
            return True
        return False

    def store(self, key: bytes) -> None:
        """Store a key."""
        if self._is_warm:
            self._keys.pop(key, None)
            return
        self._keys[key] = None
        if len(self._keys) > self._max_keys:
            self._keys.popitem(last=False)

    def remove(self, key: bytes) -> None:
        """Remove a key."""
        if self._is_warm:
            self._keys[key] = None
        else:
            self._keys.pop(key, None)

    def clear(self) -> None:
        """Lose all keys; from now on the cache is as one that started empty."""
        self._keys.clear()
        self._is_warm = False
