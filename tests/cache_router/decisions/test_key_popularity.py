"""Shares of keys in a router's requests."""

from __future__ import annotations

from cache_router.decisions.key_popularity import KeyPopularity


def test_first_request_for_a_key_is_not_popular() -> None:
    popularity = KeyPopularity(10.0, now=0.0)
    assert popularity.record_request("k", cache_count=1, now=0.0) == 0.0


def test_share_is_that_of_the_earlier_requests_for_the_key() -> None:
    popularity = KeyPopularity(10.0, now=0.0)
    shares = [
        popularity.record_request("hot" if n % 2 else f"k{n}", cache_count=4, now=0.0) for n in range(100)
    ]
    assert shares[99] == 49 / 100
    assert set(shares[0::2]) == {0.0}


def test_few_requests_are_divided_by_the_number_of_caches() -> None:
    """Otherwise the second request at a new router would make its key popular."""
    popularity = KeyPopularity(10.0, now=0.0)
    popularity.record_request("k", cache_count=50, now=0.0)
    assert popularity.record_request("k", cache_count=50, now=0.0) == 1 / 50


def test_counts_are_halved_at_intervals_and_single_requests_forgotten() -> None:
    popularity = KeyPopularity(10.0, now=0.0)
    popularity.record_request("rare", cache_count=1, now=0.0)
    for _ in range(9):
        popularity.record_request("hot", cache_count=1, now=0.0)
    # The first request after time 0 halves the counts: 4 requests for the hot key remain, and 5 of all 10.
    popularity.record_request("other", cache_count=1, now=10.0)
    assert popularity.record_request("hot", cache_count=1, now=20.0) == 4 / 7
    assert popularity.record_request("rare", cache_count=1, now=20.0) == 0.0
    # All 8 requests are halved to 4, and the 5 for the hot key are halved and rounded down to 2.
    assert popularity.record_request("hot", cache_count=1, now=20.1) == 2 / 5
