"""Emulated cache servers and their origin: responses in each mode, stored keys, and counts."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import asdict, replace

import pytest

from scale_experiments.emulators.address import parse_address
from scale_experiments.emulators.cache import cluster as cluster_module
from scale_experiments.emulators.cache.cluster import CacheCluster
from scale_experiments.emulators.cache.emulator import CachesEmulator
from scale_experiments.emulators.cache.keys import CachedKeys
from scale_experiments.emulators.cache.origin import Origin
from scale_experiments.emulators.cache.server import CacheServer
from scale_experiments.emulators.cache.statistics import CacheStatistics
from scale_experiments.emulators.codec import decode
from scale_experiments.emulators.messages.caches import (
    CacheCounters,
    CacheSettings,
    CachesStarted,
    CachesStats,
    GetCachesStats,
    OriginCounters,
    SetCacheMode,
    StartCaches,
)
from scale_experiments.emulators.messages.common import Done
from tests.support.loopback import PeerConnection, encode_keyed_write, encode_read

CACHE_SETTINGS = CacheSettings(
    value_bytes=3, service_s=0.0, handshake_s=0.0, idle_s=9.0, max_connections=2, max_keys=2, warm=False
)


def free_address() -> tuple[str, int]:
    """Return a loopback address at which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        return host, port


def test_cache_stores_a_missed_key_from_the_origin_response_until_a_write() -> None:
    """The cache server that missed a key stores it; a write removes the key from all cache servers."""
    cluster = CacheCluster(CACHE_SETTINGS)
    first, other = cluster.add_cache(), cluster.add_cache()
    cluster.on_miss(b"r1", first)
    cluster.on_origin_response(b"k1", b"r1", False)
    assert first.contains(b"k1")
    assert not other.contains(b"k1")
    assert not cluster.pending_misses
    other.store(b"k1")
    cluster.on_origin_response(b"k1", b"w1", True)
    assert not first.contains(b"k1")
    assert not other.contains(b"k1")
    for key in (b"k1", b"k2", b"k3"):
        first.store(key)
    assert not first.contains(b"k1")  # evicted, because three keys exceed the capacity of two
    assert first.contains(b"k3")


def test_cache_that_started_empty_evicts_the_least_recently_used_key() -> None:
    keys = CachedKeys(warm=False, max_keys=2)
    keys.store(b"k1")
    keys.store(b"k2")
    assert keys.contains(b"k1")
    keys.store(b"k3")
    assert [keys.contains(key) for key in (b"k1", b"k2", b"k3")] == [True, False, True]


def test_warm_cache_has_every_key_that_was_not_removed_until_it_loses_all() -> None:
    keys = CachedKeys(warm=True, max_keys=1)
    keys.remove(b"k1")
    assert [keys.contains(key) for key in (b"k1", b"k2", b"k3")] == [False, True, True]
    keys.store(b"k1")
    assert keys.contains(b"k1")
    keys.clear()
    assert not any(keys.contains(key) for key in (b"k1", b"k2"))


def test_cluster_drops_the_oldest_miss_beyond_its_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(cluster_module, "MAX_PENDING_MISSES", 2)
    cluster = CacheCluster(CACHE_SETTINGS)
    keys = cluster.add_cache()
    for request_id in (b"r1", b"r2", b"r3"):
        cluster.on_miss(request_id, keys)
    assert cluster.pending_misses == 2
    cluster.on_origin_response(b"k1", b"r1", False)
    cluster.on_origin_response(b"k3", b"r3", False)
    assert [keys.contains(key) for key in (b"k1", b"k3")] == [False, True]


def test_cache_statistics_count_connections_requests_and_samples() -> None:
    statistics = CacheStatistics()
    statistics.on_connected(1, is_over_limit=False)
    statistics.on_connected(2, is_over_limit=True)
    statistics.on_sample(2)
    statistics.on_sample(1)
    statistics.on_hit()
    statistics.on_hit()
    statistics.on_miss()
    statistics.on_rejected()
    assert statistics.counters(1) == CacheCounters(
        accepted=2, handshakes=1, requests=4, hits=2, misses=1, rejected=1, open_sum=3.0, max_open=2, open=1
    )


async def test_cache_drains_hangs_fails_and_restarts_empty() -> None:
    """Each mode shows the behaviour of a real cache server in that state; a restart loses all keys."""
    address = free_address()
    cache = CacheServer(CacheCluster(replace(CACHE_SETTINGS, warm=True)), "a", address)
    await cache.listen()
    links = [PeerConnection(*await asyncio.open_connection(*address)) for _ in range(3)]
    for link, value in zip(links, (b"r1v", b"r1v", None), strict=True):
        link.write(encode_read("r1"))
        response = await link.read_resp()
        if value is None:  # third connection, with a limit of two
            assert str(response) == "BUSY"
            assert await link.closed_by_peer()
        else:
            assert response == [value, b"hit", b"svc_ms=0.0,pending=0"]
    await cache.set_mode("drain")
    links[0].write(encode_read("r2"))
    assert str(await links[0].read_resp()) == "BUSY"
    await cache.set_mode("hang")
    links[0].write(encode_read("r3"))
    await cache.set_mode("dead")
    assert await links[0].closed_by_peer()
    assert await links[1].closed_by_peer()
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection(*address)
    await cache.set_mode("serve")
    link = PeerConnection(*await asyncio.open_connection(*address))
    link.write(encode_read("r4"))
    assert (await link.read_resp())[:2] == [None, b"miss"]
    assert cache.counters() == CacheCounters(
        accepted=4, handshakes=3, requests=5, hits=2, misses=1, rejected=2, open_sum=0, max_open=3, open=1
    )
    link.close()
    await cache.set_mode("dead")


async def test_cache_sends_responses_in_the_order_of_requests_and_reports_its_pending_requests() -> None:
    """The second response waits for the first one, which is delayed by the handshake time."""
    address = free_address()
    settings = replace(CACHE_SETTINGS, service_s=0.01, handshake_s=0.05, warm=True)
    cache = CacheServer(CacheCluster(settings), "a", address)
    await cache.listen()
    link = PeerConnection(*await asyncio.open_connection(*address))
    started_at = asyncio.get_running_loop().time()
    link.write(encode_read("r1") + encode_keyed_write("w1"))
    assert await link.read_resp() == [b"r1v", b"hit", b"svc_ms=10.0,pending=1"]
    assert asyncio.get_running_loop().time() - started_at >= 0.06
    assert await link.read_resp() == [None, b"miss", b"svc_ms=10.0,pending=0"]
    link.close()
    await cache.set_mode("dead")


async def test_cache_drops_the_pending_requests_of_a_lost_connection() -> None:
    address = free_address()
    cache = CacheServer(CacheCluster(replace(CACHE_SETTINGS, service_s=5.0)), "a", address)
    await cache.listen()
    link = PeerConnection(*await asyncio.open_connection(*address))
    link.write(encode_read("r1"))
    while not cache.counters().misses:
        await asyncio.sleep(0.001)
    assert cache.load_report() == b"svc_ms=5000.0,pending=1"
    link.close()
    while cache.counters().open:
        await asyncio.sleep(0.001)
    assert cache.load_report() == b"svc_ms=5000.0,pending=0"
    await cache.set_mode("dead")


async def test_caches_emulator_executes_its_commands() -> None:
    emulator = CachesEmulator()
    host, port = free_address()
    command = StartCaches(
        **asdict(CACHE_SETTINGS),
        addresses={"a": f"{host}:{port}"},
        origin="127.0.0.1:0",
        origin_service_s=0.0,
        origin_max_concurrent=1,
    )
    started = await emulator.handle(command)
    assert isinstance(started, CachesStarted)
    origin = PeerConnection(*await asyncio.open_connection(*parse_address(started.origin)))
    link = PeerConnection(*await asyncio.open_connection(host, port))
    link.write(encode_read("r1", key="a/b"))
    assert (await link.read_resp())[:2] == [None, b"miss"]
    origin.write(origin_request("GET", "r1"))
    await origin.read_http()
    link.write(encode_read("r2", key="a/b"))
    assert (await link.read_resp())[:2] == [b"r2v", b"hit"]
    stats = await emulator.handle(GetCachesStats())
    assert isinstance(stats, CachesStats)
    assert (stats.caches["a"].hits, stats.caches["a"].misses, stats.origin.requests) == (1, 1, 1)
    assert stats.samples >= 1
    with pytest.raises(ValueError, match="no such mode: stop"):
        await emulator.handle(decode(SetCacheMode, {"names": ["a"], "mode": "stop"}))
    assert await emulator.handle(SetCacheMode(["a"], "dead")) == Done()
    assert await link.closed_by_peer()
    origin.close()


def origin_request(method: str, request_id: str, body: str = "") -> bytes:
    """Encode a request to the origin for the key `a/b`."""
    head = f"{method} /a%2Fb HTTP/1.1\r\nRequest-Id: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
    return (head + body).encode()


async def test_origin_notifies_the_caches_and_rejects_requests_beyond_its_limit() -> None:
    completed: list[tuple[bytes, bytes, bool]] = []
    cluster = CacheCluster(CACHE_SETTINGS)
    origin = Origin(lambda *request: completed.append(request), cluster.value_for, 0.02, 1)
    address = await origin.listen("127.0.0.1", 0)
    first, second = [PeerConnection(*await asyncio.open_connection(*address)) for _ in range(2)]
    first.write(origin_request("GET", "r1"))
    while not origin.counters().requests:
        await asyncio.sleep(0.001)
    second.write(origin_request("GET", "r2"))
    status, headers, _ = await second.read_http()
    assert (status, headers["not-started"]) == ("HTTP/1.1 503 Service Unavailable", "1")
    assert await first.read_http() == ("HTTP/1.1 200 OK", {"content-length": "3"}, b"r1v")
    first.write(origin_request("PUT", "w1", "body"))
    assert await first.read_http() == ("HTTP/1.1 200 OK", {"content-length": "13"}, b"receipt of w1")
    assert completed == [(b"a/b", b"r1", False), (b"a/b", b"w1", True)]
    first.close()
    while origin.counters().open == 2:
        await asyncio.sleep(0.001)
    assert origin.counters() == OriginCounters(requests=3, rejected=1, connections=2, open=1, max_open=2)
    second.close()


async def test_request_whose_connection_is_lost_no_longer_counts_as_concurrent() -> None:
    completed: list[bytes] = []
    cluster = CacheCluster(CACHE_SETTINGS)
    origin = Origin(lambda _, request_id, __: completed.append(request_id), cluster.value_for, 0.02, 1)
    address = await origin.listen("127.0.0.1", 0)
    first, second = [PeerConnection(*await asyncio.open_connection(*address)) for _ in range(2)]
    first.write(origin_request("GET", "r1"))
    while not origin.counters().requests:
        await asyncio.sleep(0.001)
    first.reset()
    while origin.counters().open == 2:
        await asyncio.sleep(0.001)
    second.write(origin_request("GET", "r2"))
    assert (await second.read_http())[0] == "HTTP/1.1 200 OK"
    assert completed == [b"r2"]
    second.close()
