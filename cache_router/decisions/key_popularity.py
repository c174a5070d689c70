"""The popularity of keys, which determines over how many caches the load of a key is spread."""


class KeyPopularity:
    """Shares of keys in this router's requests; counts are halved at intervals, so that old ones decay."""

    def __init__(self, halving_interval: float, now: float) -> None:
        self._halving_interval = halving_interval  # seconds
        self._halve_at = now  # the first request after this time halves the counts
        self._counts: dict[str, int] = {}  # requests by key
        self._total = 0.0  # requests for all keys

    def record_request(self, key: str, cache_count: int, now: float) -> float:
        """Count a request for a key, and return the key's share of the requests, from 0 to 1.

        The share excludes this request, so that a key is never popular on its first request. A router with
        fewer requests than caches divides by the number of caches, because its requests are too few for an
        estimate.
        """
        if now > self._halve_at:
            self._halve(now)
        self._total += 1
        count = self._counts[key] = self._counts.get(key, 0) + 1
        return (count - 1) / max(self._total, cache_count)

    def _halve(self, now: float) -> None:
        """Halve all counts; keys with one request are removed, which bounds the memory."""
        self._halve_at = now + self._halving_interval
        self._counts = {key: count // 2 for key, count in self._counts.items() if count > 1}
        self._total /= 2
