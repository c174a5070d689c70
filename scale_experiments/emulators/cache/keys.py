"""The keys that a cache server has stored; no I/O."""

from __future__ import annotations

from collections import OrderedDict


class CachedKeys:
    """The keys of one cache server.

    A cache server that starts warm has every key, so only the keys that it lacks are recorded, without a
    limit. One that starts empty has at most `max_keys` keys and evicts the least recently used one.
    """

    def __init__(self, *, warm: bool, max_keys: int) -> None:
        self._is_warm = warm
        self._max_keys = max_keys
        self._keys: OrderedDict[bytes, None] = OrderedDict()  # stored keys; if warm, the missing keys

    def contains(self, key: bytes) -> bool:
        """Return whether the cache server has a key, which then becomes the most recently used one."""
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
        """Remove all keys; from now on, the cache server behaves as one that started empty."""
        self._keys.clear()
        self._is_warm = False
