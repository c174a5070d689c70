"""The popularity of keys, and the hit share that a formula derives from it."""

from __future__ import annotations

from typing import Any

import numpy as np

BISECTION_STEPS = 60  # enough to reach the precision of a float
MAX_OBJECTS_RATIO = 100  # largest number of objects to try, as a multiple of the capacity
OBJECTS_TOLERANCE = 0.01  # width of the interval at which the bisection ends, as a share of its lower end
FloatArray = np.ndarray[Any, np.dtype[np.float64]]


def key_popularity(objects: int, zipf_exponent: float, rank_offset: float) -> FloatArray:
    """Return the share of reads of each object, in order of rank, by the Zipf-Mandelbrot law.

    `zipf_exponent` is the exponent, and `rank_offset` is added to each rank.
    """
    weights: FloatArray = (np.arange(1, objects + 1, dtype=np.float64) + rank_offset) ** -zipf_exponent
    shares: FloatArray = weights / weights.sum()
    return shares


def expected_hit_share(shares: FloatArray, capacity: int) -> float:
    """Return the hit share of one cache of `capacity` objects that evicts the least recently used one.

    This is the approximation of Che, Tung and Wang, "Hierarchical Web Caching Systems" (2002): an object is
    cached if it was read within the characteristic time, which is the time until as many distinct objects are
    read as the cache can hold.
    """
    if capacity >= len(shares):
        return 1.0
    low, high = 0.0, 1.0
    while np.sum(-np.expm1(-shares * high)) < capacity:
        high *= 2
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if np.sum(-np.expm1(-shares * middle)) < capacity:
            low = middle
        else:
            high = middle
    return float(np.sum(shares * -np.expm1(-shares * high)))


def objects_for(hit_share: float, capacity: int, zipf_exponent: float, rank_offset: float) -> int:
    """Find the number of distinct objects at which a cache of `capacity` objects has this hit share."""

    def hits_more_often(objects: int) -> bool:
        return expected_hit_share(key_popularity(objects, zipf_exponent, rank_offset), capacity) > hit_share

    low, high = capacity, 2 * capacity
    while hits_more_often(high) and high < MAX_OBJECTS_RATIO * capacity:
        low, high = high, 2 * high
    while high - low > OBJECTS_TOLERANCE * low:
        middle = (low + high) // 2
        if hits_more_often(middle):
            low = middle
        else:
            high = middle
    return high
