"""The keys of a simulated cache server: eviction, hits and misses."""

from __future__ import annotations

from scale_experiments.simulation.key_cache import KeyCache


def test_the_least_recently_used_key_is_evicted() -> None:
    cache = KeyCache(2)
    cache.store("a")
    cache.store("b")
    assert cache.is_full
    assert cache.read("a")
    cache.store("c")
    assert [cache.read(key) for key in ("a", "b", "c")] == [True, False, True]


def test_a_preloaded_key_is_evicted_before_the_keys_preloaded_earlier() -> None:
    cache = KeyCache(2)
    cache.preload("most popular")
    cache.preload("less popular")
    cache.store("new")
    assert cache.read("most popular")
    assert not cache.read("less popular")


def test_invalidated_and_cleared_keys_are_misses() -> None:
    cache = KeyCache(3)
    for key in ("a", "b", "c"):
        cache.store(key)
    cache.invalidate("a")
    cache.invalidate("absent")
    assert not cache.is_full
    assert [cache.read(key) for key in ("a", "b", "c")] == [False, True, True]
    cache.clear()
    assert not cache.read("b")
