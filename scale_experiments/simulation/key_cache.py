"""Model of the keys that a cache server stores."""

from __future__ import annotations

from collections import OrderedDict


class KeyCache:
    """A bounded set of keys that evicts the least recently used key when its capacity is exceeded."""

    __slots__ = ("_capacity", "_keys")

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._keys: OrderedDict[str, None] = OrderedDict()  # least recently used first

    @property
    def is_full(self) -> bool:
        """Whether storing another key evicts one."""
        return len(self._keys) >= self._capacity

    def read(self, key: str) -> bool:
        """Return whether a key is cached, and mark it as the most recently used one if it is."""
        if key not in self._keys:
            return False
        self._keys.move_to_end(key)
        return True

    def preload(self, key: str) -> None:
        """Store a key as the least recently used one."""
        self._keys[key] = None
        self._keys.move_to_end(key, last=False)

    def store(self, key: str) -> None:
        """Store a key; evict the least recently used one if the capacity is exceeded."""
        self._keys[key] = None
        if len(self._keys) > self._capacity:
            self._keys.popitem(last=False)

    def invalidate(self, key: str) -> None:
        """Remove a key that was written, if it is cached."""
        self._keys.pop(key, None)

    def clear(self) -> None:
        """Remove all keys."""
        self._keys.clear()
