"""The scale experiments' emulators speak the protocol that the routers rely on."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from typing import Any

import orjson
import pytest

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.net.discovery import Discovery
from scale_experiments.emulators.cache import Cache, CacheCluster
from scale_experiments.emulators.codec import (
    Command,
    CommandError,
    decode,
    decode_command,
    encode,
    encode_command,
)
from scale_experiments.emulators.discovery import DiscoveryEmulator
from scale_experiments.emulators.endpoint_registry import Registry
from scale_experiments.emulators.messages.caches import CacheSettings, CachesStats, SetCacheMode, StartCaches
from scale_experiments.emulators.messages.clients import GetClientsStats, PauseClients
from scale_experiments.emulators.messages.discovery import (
    ChangeList,
    DiscoveryStats,
    ResetUnanswered,
    SetDiscoveryMode,
)
from scale_experiments.emulators.messages.routers import GetUpdateTimes
from tests.loopback import Link, read, run, spelled
from tests.test_net_discovery import LINE


def line(name: str, status: str = "in_service") -> dict[str, Any]:
    return {**LINE, "name": name, "status": status}


def read_response(registry: Registry, after: int | None) -> tuple[int, bool, dict[str, str]]:
    answer = orjson.loads(registry.response_body(after))
    return answer["index"], answer["snapshot"], {e["name"]: e["status"] for e in answer["endpoints"]}


def test_a_registry_tells_the_whole_list_changes_and_the_whole_list_after_an_index_too_old() -> None:
    registry = Registry(log_length=2)
    registry.replace(5, [line("a"), line("b")])
    assert read_response(registry, None) == (5, True, {"a": "in_service", "b": "in_service"})
    assert read_response(registry, 5) == (5, False, {})
    assert read_response(registry, 4)[1]  # from before the list
    assert read_response(registry, 6)[1]  # an index of another discovery
    registry.change(6, [line("a", "terminating")])
    registry.change(7, [line("a", "terminated"), line("c")])
    assert read_response(registry, 5) == (7, False, {"a": "terminated", "c": "in_service"})
    assert read_response(registry, 6) == (7, False, {"a": "terminated", "c": "in_service"})
    registry.change(8, [])
    assert read_response(registry, 5) == (8, True, {"b": "in_service", "c": "in_service"})


def test_a_watch_waits_for_news_and_goes_silent_with_discovery() -> None:
    async def scenario() -> None:
        server = DiscoveryEmulator()
        await server.listen()
        server.registry.replace(41, [line("a")])
        news: asyncio.Queue[tuple[EndpointUpdateKind, list[str]]] = asyncio.Queue()
        watch = Discovery(
            spelled(server.address),
            41,
            lambda kind, members: news.put_nowait((kind, [m.entry.name for m in members])),
            lambda: news.put_nowait((EndpointUpdateKind.FAILED, [])),
        )
        watch.subscribe()

        async def waits(calls: int) -> None:
            while server.polls < calls:
                await asyncio.sleep(0.001)

        await waits(1)
        assert len(server.waiting) == 1 and news.empty()
        server.change(42, [line("b")])
        assert await news.get() == (EndpointUpdateKind.DELTA, ["b"])
        await waits(2)
        await server.set_mode("silent")
        server.change(43, [line("c")])
        assert not server.waiting and news.empty()
        assert server.reset_unanswered() == 1
        assert await news.get() == (EndpointUpdateKind.FAILED, [])
        await server.set_mode("serve")
        watch.subscribe()
        assert await news.get() == (EndpointUpdateKind.DELTA, ["c"])
        watch.close()

        other = Link(*await asyncio.open_connection(*server.address))
        other.write(b"GET /registry/instances?after=x HTTP/1.1\r\n\r\n")
        assert (await other.http())[0] == "HTTP/1.1 400 Bad Request"
        assert server.server is not None
        server.server.close()

    run(scenario)


CACHE_SETTINGS = CacheSettings(
    value_bytes=3, service_s=0.0, handshake_s=0.0, idle_s=9.0, max_connections=2, max_keys=2, warm=False
)


def test_a_cache_holds_what_missed_there_once_the_origin_has_answered_until_it_is_written() -> None:
    cluster = CacheCluster(CACHE_SETTINGS)
    first, other = (Cache(cluster, name, ("127.0.0.1", 0)) for name in "ab")
    cluster.on_miss(b"r1", first)
    cluster.on_fetched(b"k1", b"r1", False, [first, other])
    assert first.contains(b"k1") and not other.contains(b"k1") and not cluster.pending_misses
    cluster.on_fetched(b"k1", b"w1", True, [first, other])
    assert not first.contains(b"k1")
    for key in (b"k1", b"k2", b"k3"):
        first.store(key)
    assert not first.contains(b"k1") and first.contains(b"k3")  # no more than it has room for


def test_a_cache_drains_hangs_dies_and_comes_back_empty() -> None:
    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = taken.getsockname()
        cache = Cache(CacheCluster(replace(CACHE_SETTINGS, warm=True)), "a", address)
        await cache.listen()
        links = [Link(*await asyncio.open_connection(*address)) for _ in range(3)]
        for link, value in zip(links, (b"vvv", b"vvv", None), strict=True):
            link.write(read("r1"))
            answer = await link.resp()
            if value is None:  # over the limit of two
                assert str(answer) == "BUSY" and await link.ended()
            else:
                assert answer == [value, b"hit", b"svc_ms=0.0,pending=0"]
        await cache.set_mode("drain")
        links[0].write(read("r2"))
        assert str(await links[0].resp()) == "BUSY"
        await cache.set_mode("hang")
        links[0].write(read("r3"))
        await cache.set_mode("dead")
        assert await links[0].ended() and await links[1].ended()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*address)
        await cache.set_mode("serve")
        link = Link(*await asyncio.open_connection(*address))
        link.write(read("r4"))
        assert (await link.resp())[:2] == [None, b"miss"]
        assert (cache.accepted, cache.handshakes, cache.hits, cache.misses, cache.rejected) == (4, 3, 2, 1, 2)
        link.close()
        await cache.set_mode("dead")

    run(scenario)


@pytest.mark.parametrize(
    ("command", "message"),
    [
        (
            StartCaches(
                value_bytes=3,
                service_s=0.1,
                handshake_s=0.2,
                idle_s=9.0,
                max_connections=2,
                max_keys=4,
                warm=True,
                addresses={"a": "127.2.0.1:6379"},
                origin="127.3.0.1:0",
                origin_service_s=0.3,
                origin_max_concurrent=5,
            ),
            {
                "do": "start",
                "value_bytes": 3,
                "service_s": 0.1,
                "handshake_s": 0.2,
                "idle_s": 9.0,
                "most_connections": 2,
                "most_keys": 4,
                "warm": True,
                "addresses": {"a": "127.2.0.1:6379"},
                "origin": "127.3.0.1:0",
                "origin_service_s": 0.3,
                "origin_most_at_once": 5,
            },
        ),
        (SetCacheMode(["a"], "hang"), {"do": "mode", "names": ["a"], "mode": "hang"}),
        (GetClientsStats(restart=True), {"do": "stats", "restart": True}),
        (PauseClients(), {"do": "rest"}),
        (ChangeList(7, [LINE]), {"do": "change", "index": 7, "endpoints": [LINE]}),
        (SetDiscoveryMode("silent"), {"do": "silent"}),
        (SetDiscoveryMode("busy", 1.5), {"do": "busy", "after_s": 1.5}),
        (ResetUnanswered(), {"do": "reset_held"}),
        (GetUpdateTimes(7), {"do": "had", "index": 7}),
    ],
)
def test_a_command_keeps_its_form_as_json(command: Command[Any], message: dict[str, Any]) -> None:
    assert encode_command(command) == message
    assert decode_command({message["do"]: type(command)}, message) == command


def test_stats_keep_their_form_as_json_and_are_read_again() -> None:
    usage = {"at": 1.0, "cpu_s": 0.5, "resident_bytes": 10, "descriptors": 3}
    discovery = DiscoveryEmulator().stats()
    assert set(encode(discovery)) == {
        *usage,
        "calls",
        "connections",
        "answered",
        "refused",
        "bytes_in",
        "bytes_out",
        "told_s",
        "told_calls",
        "index",
        "open",
        "waiting",
        "bucket_s",
        "over_time",
    }
    assert decode(DiscoveryStats, encode(discovery)) == discovery
    counters = {"accepted": 1, "handshakes": 2, "requests": 3, "hits": 4, "missed": 5, "busy": 6}
    cache = {**counters, "open_sum": 7.0, "most_open": 8, "open": 9}
    origin = {"requests": 1, "turned_away": 2, "connections": 3, "open": 4, "most_open": 5}
    message = {**usage, "time": 2.0, "samples": 4, "caches": {"a": cache}, "origin": origin}
    stats = decode(CachesStats, message)
    assert (stats.caches["a"].misses, stats.caches["a"].rejected, stats.origin.rejected) == (5, 6, 2)
    assert encode(stats) == message


def test_a_command_that_is_unknown_or_lacks_a_field_is_rejected() -> None:
    with pytest.raises(CommandError, match="no such command: stop"):
        decode_command({"had": GetUpdateTimes}, {"do": "stop"})
    with pytest.raises(KeyError, match="index"):
        decode_command({"had": GetUpdateTimes}, {"do": "had"})
