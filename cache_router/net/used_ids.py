"""The ids of finished requests, which are rejected for a while."""

from __future__ import annotations

from cache_router.settings import Settings

# Minimum time in seconds for which the id of a finished request is rejected. Another client that reuses the
# id might get the value that the first client requested.
MIN_REUSE_DELAY = 2.0
MAX_REUSE_DELAY = 60.0  # seconds
MAX_IDS = 100_000  # ids in a generation, which bounds the memory under a flood of new ids


def reuse_delay(settings: Settings) -> float:
    """Return the time in seconds for which an id is rejected after its request has finished.

    The client may have left while an attempt is still executed. For as long as clients wait and servers
    remember a key, the same request under the same id counts as a repeat.
    """
    longest = max(max(c.client_timeout, c.idempotency_window) for c in settings.classes.values())
    return min(MAX_REUSE_DELAY, max(MIN_REUSE_DELAY, longest))


class UsedIds:
    """Ids in two generations, which are dropped in bulk. Times are in seconds on the caller's clock."""

    def __init__(self, delay: float, now: float) -> None:
        """Create an empty set; each id is kept for at least `delay`, unless there are more than MAX_IDS."""
        self._delay = delay
        self._recent: set[int] = set()  # hashes, which take less memory than the ids
        self._previous: set[int] = set()
        self._rotated_at = now

    def __contains__(self, request_id: str) -> bool:
        """Return whether an id is kept."""
        key = hash(request_id)
        return key in self._recent or key in self._previous

    def add(self, request_id: str, now: float) -> None:
        """Add the id of a request that has finished."""
        if now - self._rotated_at > self._delay or len(self._recent) >= MAX_IDS:
            self._previous = self._recent
            self._recent = set()
            self._rotated_at = now
        self._recent.add(hash(request_id))
