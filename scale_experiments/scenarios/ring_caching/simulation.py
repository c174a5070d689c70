"""A simulation of reads on a hash ring whose caches evict the least recently used object."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from cache_router.endpoint import Endpoint
from scale_experiments.scenarios.ring_caching.popularity import FloatArray
from scale_experiments.simulation.key_placement import place_keys
from scale_experiments.simulation.model import site_settings


@dataclass(slots=True, frozen=True)
class RingResult:
    """The result of the simulated reads on one ring."""

    hit_share: float
    worst_cache_ratio: float  # reads at the busiest cache over the mean of all caches


class LeastRecentlyUsedCaches:
    """The caches of one ring; each is initially filled with the most popular of its keys."""

    def __init__(self, owners: Sequence[int], caches: int, capacity: int) -> None:
        self.owners = owners  # index of the cache of each key, by the rank of the key
        self.capacity = capacity
        # The cached keys of each cache. The most recently used key is the last.
        self.contents: list[OrderedDict[int, None]] = [OrderedDict() for _ in range(caches)]
        for key, owner in enumerate(owners):
            if len(self.contents[owner]) < capacity:
                self.contents[owner][key] = None
                self.contents[owner].move_to_end(key, last=False)

    def read(self, key: int) -> bool:
        """Read a key and cache it; return whether its cache already had it."""
        cached = self.contents[self.owners[key]]
        if key in cached:
            cached.move_to_end(key)
            return True
        cached[key] = None
        if len(cached) > self.capacity:
            cached.popitem(last=False)
        return False


def simulate(
    owners: Sequence[int],
    caches: int,
    capacity: int,
    shares: FloatArray,
    *,
    reads: int,
    rng: np.random.Generator,
) -> RingResult:
    """Simulate reads. Only the second half of them is counted, as the first half warms up the caches."""
    ring = LeastRecentlyUsedCaches(owners, caches, capacity)
    received = [0] * caches
    hits = counted = 0
    ranks = np.searchsorted(np.cumsum(shares), rng.random(reads)).tolist()
    for number, rank in enumerate(ranks):
        key = min(rank, len(owners) - 1)
        is_hit = ring.read(key)
        if number >= reads // 2:
            received[owners[key]] += 1
            hits += is_hit
            counted += 1
    return RingResult(hits / counted, max(received) * caches / counted)


def place_on_group(group: int, caches: int, objects: int) -> list[int]:
    """Return, for each key by rank, the index of the group's cache that the ring assigns it to."""
    names = [f"s-{group:02x}{number:06x}" for number in range(caches)]
    endpoints = [Endpoint(name, weight=1.0) for name in names]
    numbers = {name: number for number, name in enumerate(names)}
    keys = (f"page:{rank}" for rank in range(objects))
    return [numbers[name] for name in place_keys(site_settings(), endpoints, keys)]
