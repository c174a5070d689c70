"""The scale experiments' stand-ins speak the protocol that the routers rely on."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import orjson
import pytest

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.net.discovery import Discovery
from scale_experiments.emulators import discovery as standin
from scale_experiments.emulators.cache import Cache, Plan
from tests.endpoint_lists import ENDPOINT_ENTRY
from tests.loopback import Link, format_address, read, run


def line(name: str, status: str = "in_service") -> dict[str, Any]:
    return {**ENDPOINT_ENTRY, "name": name, "status": status}


def told(registry: standin.Registry, after: int | None) -> tuple[int, bool, dict[str, str]]:
    answer = orjson.loads(registry.answer(after))
    return answer["index"], answer["snapshot"], {e["name"]: e["status"] for e in answer["endpoints"]}


def test_registry_sends_changes_or_a_snapshot_if_the_index_is_too_old() -> None:
    registry = standin.Registry(kept=2)
    registry.replace(5, [line("a"), line("b")])
    assert told(registry, None) == (5, True, {"a": "in_service", "b": "in_service"})
    assert told(registry, 5) == (5, False, {})
    assert told(registry, 4)[1]  # from before the list
    assert told(registry, 6)[1]  # an index of another discovery
    registry.change(6, [line("a", "terminating")])
    registry.change(7, [line("a", "terminated"), line("c")])
    assert told(registry, 5) == (7, False, {"a": "terminated", "c": "in_service"})
    assert told(registry, 6) == (7, False, {"a": "terminated", "c": "in_service"})
    registry.change(8, [])
    assert told(registry, 5) == (8, True, {"b": "in_service", "c": "in_service"})


def test_watch_waits_for_updates_and_hangs_with_discovery() -> None:
    async def scenario() -> None:
        server = standin.Discovery()
        await server.listen()
        server.registry.replace(41, [line("a")])
        news: asyncio.Queue[tuple[EndpointUpdateKind, list[str]]] = asyncio.Queue()
        watch = Discovery(
            format_address(server.address),
            41,
            lambda kind, members: news.put_nowait((kind, [m.entry.name for m in members])),
            lambda: news.put_nowait((EndpointUpdateKind.FAILED, [])),
        )
        watch.subscribe()

        async def waits(calls: int) -> None:
            while server.calls < calls:
                await asyncio.sleep(0.001)

        await waits(1)
        assert len(server.waiting) == 1 and news.empty()
        server.change(42, [line("b")])
        assert await news.get() == (EndpointUpdateKind.DELTA, ["b"])
        await waits(2)
        await server.set_mode("silent")
        server.change(43, [line("c")])
        assert not server.waiting and news.empty()
        assert server.reset_held() == 1
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


PLAN: dict[str, Any] = {
    "value_bytes": 3,
    "service_s": 0.0,
    "handshake_s": 0.0,
    "idle_s": 9.0,
    "most_connections": 2,
    "most_keys": 2,
    "warm": False,
}


def test_cache_stores_a_missed_key_from_the_origin_response_until_a_write() -> None:
    plan = Plan(PLAN)
    first, other = (Cache(plan, name, ("127.0.0.1", 0)) for name in "ab")
    plan.missed(b"r1", first)
    plan.fetched(b"k1", b"r1", False, [first, other])
    assert first.has(b"k1") and not other.has(b"k1") and not plan.misses
    plan.fetched(b"k1", b"w1", True, [first, other])
    assert not first.has(b"k1")
    for key in (b"k1", b"k2", b"k3"):
        first.hold(key)
    assert not first.has(b"k1") and first.has(b"k3")  # no more than it has room for


def test_cache_drains_hangs_fails_and_restarts_empty() -> None:
    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = taken.getsockname()
        cache = Cache(Plan({**PLAN, "warm": True}), "a", address)
        await cache.listen()
        links = [Link(*await asyncio.open_connection(*address)) for _ in range(3)]
        for link, value in zip(links, (b"vvv", b"vvv", None), strict=True):
            link.write(read("r1"))
            answer = await link.resp()
            if value is None:  # over the limit of two
                assert str(answer) == "BUSY" and await link.closed_by_peer()
            else:
                assert answer == [value, b"hit", b"svc_ms=0.0,pending=0"]
        await cache.set_mode("drain")
        links[0].write(read("r2"))
        assert str(await links[0].resp()) == "BUSY"
        await cache.set_mode("hang")
        links[0].write(read("r3"))
        await cache.set_mode("dead")
        assert await links[0].closed_by_peer() and await links[1].closed_by_peer()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*address)
        await cache.set_mode("serve")
        link = Link(*await asyncio.open_connection(*address))
        link.write(read("r4"))
        assert (await link.resp())[:2] == [None, b"miss"]
        assert (cache.accepted, cache.handshakes, cache.hits, cache.missed, cache.busy) == (4, 3, 2, 1, 2)
        link.close()
        await cache.set_mode("dead")

    run(scenario)
