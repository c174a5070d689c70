"""The popularity of keys, which decides over how many caches a key is spread."""


class KeyPopularity:
    """Shares of keys in this router's requests, in a memory that halves at intervals (seconds)."""

    def __init__(self, halving_interval: float, now: float) -> None:
        self._halving_interval = halving_interval  # seconds
        self._halve_at = now
        self._counts: dict[str, int] = {}
        self._total = 0.0

    def count(self, key: str, cache_count: int, now: float) -> float:
        """Count a request; the share of the key before it, as a key met twice by chance is not popular."""
        if now > self._halve_at:
            self._halve_at = now + self._halving_interval
            self._counts = {known: count // 2 for known, count in self._counts.items() if count > 1}
            self._total /= 2
        self._total += 1
        count = self._counts[key] = self._counts.get(key, 0) + 1
        return (count - 1) / max(self._total, cache_count)
