"""The emulators of the scale experiments speak the protocol that routers rely on."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.net.discovery import Discovery
from scale_experiments.emulators.codec import (
    Command,
    CommandError,
    decode,
    decode_command,
    encode,
    encode_command,
)
from scale_experiments.emulators.discovery.emulator import DiscoveryEmulator
from scale_experiments.emulators.discovery.endpoint_registry import Registry
from scale_experiments.emulators.messages.caches import CachesStats, SetCacheMode, StartCaches
from scale_experiments.emulators.messages.clients import GetClientsStats, PauseClients
from scale_experiments.emulators.messages.discovery import (
    ChangeList,
    DiscoveryStats,
    ResetUnanswered,
    SetDiscoveryMode,
)
from scale_experiments.emulators.messages.routers import GetUpdateTimes
from tests.support.endpoint_lists import ENDPOINT_ENTRY
from tests.support.loopback import Link, format_address, run


def endpoint_entry(name: str, status: str = "in_service") -> dict[str, Any]:
    """Return an entry of an endpoint list."""
    return {**ENDPOINT_ENTRY, "name": name, "status": status}


def poll(registry: Registry, after: int | None) -> tuple[int, bool, dict[str, str]]:
    """Poll for what is newer than an index; return index, whether a snapshot, and states by name."""
    response = orjson.loads(registry.response_body(after))
    states = {e["name"]: e["status"] for e in response["endpoints"]}
    return response["index"], response["snapshot"], states


def test_registry_sends_changes_or_a_snapshot_if_the_index_is_too_old() -> None:
    """Changes are sent to a known index, a snapshot to one that is unknown or no longer kept."""
    registry = Registry(log_length=2)
    registry.replace(5, [endpoint_entry("a"), endpoint_entry("b")])
    assert poll(registry, None) == (5, True, {"a": "in_service", "b": "in_service"})
    assert poll(registry, 5) == (5, False, {})
    assert poll(registry, 4)[1]  # from before the list
    assert poll(registry, 6)[1]  # an index of another discovery
    registry.change(6, [endpoint_entry("a", "terminating")])
    registry.change(7, [endpoint_entry("a", "terminated"), endpoint_entry("c")])
    assert poll(registry, 5) == (7, False, {"a": "terminated", "c": "in_service"})
    assert poll(registry, 6) == (7, False, {"a": "terminated", "c": "in_service"})
    registry.change(8, [])
    assert poll(registry, 5) == (8, True, {"b": "in_service", "c": "in_service"})


def test_watch_waits_for_updates_and_hangs_with_discovery() -> None:
    """A poll waits until the list changes, and gets no response while discovery hangs."""

    async def scenario() -> None:
        server = DiscoveryEmulator()
        await server.listen()
        server.registry.replace(41, [endpoint_entry("a")])
        updates: asyncio.Queue[tuple[EndpointUpdateKind, list[str]]] = asyncio.Queue()
        watch = Discovery(
            format_address(server.address),
            41,
            lambda kind, endpoints: updates.put_nowait((kind, [e.entry.name for e in endpoints])),
            lambda: updates.put_nowait((EndpointUpdateKind.FAILED, [])),
        )
        watch.subscribe()

        async def wait_for_polls(count: int) -> None:
            while server.polls < count:
                await asyncio.sleep(0.001)

        await wait_for_polls(1)
        assert len(server.waiting) == 1
        assert updates.empty()
        server.change(42, [endpoint_entry("b")])
        assert await updates.get() == (EndpointUpdateKind.DELTA, ["b"])
        await wait_for_polls(2)
        await server.set_mode("silent")
        server.change(43, [endpoint_entry("c")])
        assert not server.waiting
        assert updates.empty()
        assert server.reset_unanswered() == 1
        assert await updates.get() == (EndpointUpdateKind.FAILED, [])
        await server.set_mode("serve")
        watch.subscribe()
        assert await updates.get() == (EndpointUpdateKind.DELTA, ["c"])
        watch.close()
        assert server.server is not None
        server.server.close()

    run(scenario)


def test_poll_with_a_malformed_index_gets_a_bad_request() -> None:
    """The emulator rejects what routers never send, so that a mistake in a router is not overlooked."""

    async def scenario() -> None:
        server = DiscoveryEmulator()
        await server.listen()
        client = Link(*await asyncio.open_connection(*server.address))
        client.write(b"GET /registry/instances?after=x HTTP/1.1\r\n\r\n")
        assert (await client.http())[0] == "HTTP/1.1 400 Bad Request"
        assert server.server is not None
        server.server.close()

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
        (ChangeList(7, [ENDPOINT_ENTRY]), {"do": "change", "index": 7, "endpoints": [ENDPOINT_ENTRY]}),
        (SetDiscoveryMode("silent"), {"do": "silent"}),
        (SetDiscoveryMode("busy", 1.5), {"do": "busy", "after_s": 1.5}),
        (ResetUnanswered(), {"do": "reset_held"}),
        (GetUpdateTimes(7), {"do": "had", "index": 7}),
    ],
)
def test_command_keeps_its_form_as_json(command: Command[Any], message: dict[str, Any]) -> None:
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


def test_command_that_is_unknown_or_lacks_a_field_is_rejected() -> None:
    with pytest.raises(CommandError, match="no such command: stop"):
        decode_command({"had": GetUpdateTimes}, {"do": "stop"})
    with pytest.raises(KeyError, match="index"):
        decode_command({"had": GetUpdateTimes}, {"do": "had"})
