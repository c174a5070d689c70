"""Hit shares of caches on a hash ring, by formula and by simulated reads."""

from __future__ import annotations

import numpy as np
import pytest

from scale_experiments.scenarios.ring_caching.popularity import (
    OBJECTS_TOLERANCE,
    expected_hit_share,
    key_popularity,
    objects_for,
)
from scale_experiments.scenarios.ring_caching.simulation import (
    LeastRecentlyUsedCaches,
    place_on_group,
    simulate,
)

ZIPF_EXPONENT = 0.95
RANK_OFFSET = 10.0


def test_popularity_falls_with_the_rank_and_sums_to_1() -> None:
    shares = key_popularity(100, ZIPF_EXPONENT, RANK_OFFSET)
    assert shares.sum() == pytest.approx(1.0)
    assert (np.diff(shares) < 0).all()
    assert shares[0] / shares[9] == pytest.approx((20 / 11) ** ZIPF_EXPONENT)


def test_a_cache_with_room_for_all_objects_always_hits() -> None:
    assert expected_hit_share(key_popularity(50, ZIPF_EXPONENT, RANK_OFFSET), 50) == 1.0


def test_the_number_of_objects_gives_the_hit_share() -> None:
    objects = objects_for(0.9, 1000, ZIPF_EXPONENT, RANK_OFFSET)
    shares = key_popularity(objects, ZIPF_EXPONENT, RANK_OFFSET)
    assert expected_hit_share(shares, 1000) == pytest.approx(0.9, abs=OBJECTS_TOLERANCE)


def test_a_cache_evicts_its_least_recently_used_key() -> None:
    caches = LeastRecentlyUsedCaches(owners=[0, 0, 0, 1], caches=2, capacity=2)
    assert caches.read(0)
    assert not caches.read(2)  # evicts key 1, as key 0 was read more recently
    assert caches.read(0)
    assert not caches.read(1)
    assert caches.read(3)  # key 3 is in the other cache


def test_simulated_reads_hit_about_as_often_as_by_formula() -> None:
    objects, capacity = 2000, 400
    owners = place_on_group(group=0, caches=1, objects=objects)
    shares = key_popularity(objects, ZIPF_EXPONENT, RANK_OFFSET)
    result = simulate(owners, 1, capacity, shares, reads=20_000, rng=np.random.default_rng(1))
    assert result.hit_share == pytest.approx(expected_hit_share(shares, capacity), abs=0.02)
    assert result.worst_cache_ratio == 1.0
