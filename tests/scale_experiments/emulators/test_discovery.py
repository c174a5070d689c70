"""Emulated discovery: polls by the protocol of the routers, and the failures of each mode."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.net.discovery import Discovery
from scale_experiments.emulators.discovery.emulator import DiscoveryEmulator
from scale_experiments.emulators.discovery.endpoint_registry import EndpointRegistry
from scale_experiments.emulators.discovery.poll_connection import Poll, PollError, parse_poll
from scale_experiments.emulators.discovery.statistics import DiscoveryStatistics
from scale_experiments.emulators.messages.common import ProcessUsage
from scale_experiments.emulators.messages.discovery import DiscoveryStats, SetDiscoveryMode, Timestamp
from tests.support.endpoint_lists import ENDPOINT_ENTRY
from tests.support.loopback import PeerConnection, format_address


def endpoint_entry(name: str, status: str = "in_service") -> dict[str, Any]:
    """Return an entry of an endpoint list with a name and a status."""
    return {**ENDPOINT_ENTRY, "name": name, "status": status}


def poll(registry: EndpointRegistry, after: int | None) -> tuple[int, bool, dict[str, str]]:
    """Poll for changes after an index; return the index, whether it is a snapshot, and statuses by name."""
    response = orjson.loads(registry.response_body(after))
    statuses = {e["name"]: e["status"] for e in response["endpoints"]}
    return response["index"], response["snapshot"], statuses


def test_registry_sends_changes_or_a_snapshot_if_the_index_is_too_old() -> None:
    """A poll whose index the change log covers gets the changes since it; any other gets a snapshot."""
    registry = EndpointRegistry(log_length=2)
    registry.replace(5, [endpoint_entry("a"), endpoint_entry("b")])
    assert poll(registry, None) == (5, True, {"a": "in_service", "b": "in_service"})
    assert poll(registry, 5) == (5, False, {})
    assert poll(registry, 4)[1]  # an index older than the list
    assert poll(registry, 6)[1]  # an index from another discovery service
    registry.change(6, [endpoint_entry("a", "terminating")])
    registry.change(7, [endpoint_entry("a", "terminated"), endpoint_entry("c")])
    assert poll(registry, 5) == (7, False, {"a": "terminated", "c": "in_service"})
    assert poll(registry, 6) == (7, False, {"a": "terminated", "c": "in_service"})
    registry.change(8, [])
    assert poll(registry, 5) == (8, True, {"b": "in_service", "c": "in_service"})


async def test_watch_waits_for_updates_and_gets_none_while_discovery_is_silent() -> None:
    """A poll waits until the list changes, and gets no response while discovery is silent."""
    emulator = DiscoveryEmulator()
    await emulator.listen()
    emulator.replace_list(41, [endpoint_entry("a")])
    updates: asyncio.Queue[tuple[EndpointUpdateKind, list[str]]] = asyncio.Queue()
    watch = Discovery(
        format_address(emulator.address),
        41,
        lambda kind, endpoints: updates.put_nowait((kind, [e.entry.name for e in endpoints])),
        lambda _: updates.put_nowait((EndpointUpdateKind.FAILED, [])),
    )
    watch.subscribe()

    async def wait_for_polls(count: int) -> None:
        while emulator.stats().polls < count:
            await asyncio.sleep(0.001)

    await wait_for_polls(1)
    assert emulator.stats().waiting == 1
    assert updates.empty()
    emulator.change_list(42, [endpoint_entry("b")])
    assert await updates.get() == (EndpointUpdateKind.DELTA, ["b"])
    await wait_for_polls(2)
    await emulator.set_mode("silent")
    emulator.change_list(43, [endpoint_entry("c")])
    assert not emulator.stats().waiting
    assert updates.empty()
    assert emulator.reset_unanswered() == 1
    assert await updates.get() == (EndpointUpdateKind.FAILED, [])
    await emulator.set_mode("serve")
    watch.subscribe()
    assert await updates.get() == (EndpointUpdateKind.DELTA, ["c"])
    watch.close()
    await emulator.set_mode("refuse")


async def test_poll_with_a_malformed_index_gets_a_bad_request() -> None:
    """The emulator rejects malformed polls, so that a router that sends one does not go unnoticed."""
    emulator = DiscoveryEmulator()
    await emulator.listen()
    client = PeerConnection(*await asyncio.open_connection(*emulator.address))
    client.write(b"GET /registry/instances?after=x HTTP/1.1\r\n\r\n")
    assert (await client.read_http())[0] == "HTTP/1.1 400 Bad Request"
    await emulator.set_mode("refuse")


async def test_discovery_rejects_polls_while_it_is_busy() -> None:
    """In the mode "busy", a poll gets a 503 after the delay of the command, and its connection stays open."""
    emulator = DiscoveryEmulator()
    await emulator.listen()
    emulator.replace_list(5, [endpoint_entry("a")])
    assert isinstance(await emulator.handle(SetDiscoveryMode("busy", 0.02)), Timestamp)
    client = PeerConnection(*await asyncio.open_connection(*emulator.address))
    started_at = asyncio.get_running_loop().time()
    client.write(b"GET /registry/instances HTTP/1.1\r\n\r\n")
    assert (await client.read_http())[0] == "HTTP/1.1 503 Service Unavailable"
    assert asyncio.get_running_loop().time() - started_at >= 0.02
    await emulator.set_mode("serve")
    client.write(b"GET /registry/instances HTTP/1.1\r\n\r\n")
    assert (await client.read_http())[0] == "HTTP/1.1 200 OK"
    stats = emulator.stats()
    assert (stats.polls, stats.connections, stats.answered, stats.rejected) == (2, 1, 1, 1)
    await emulator.set_mode("refuse")


async def test_discovery_refuses_connections_until_it_serves_again_at_the_same_address() -> None:
    emulator = DiscoveryEmulator()
    await emulator.listen()
    address = emulator.address
    client = PeerConnection(*await asyncio.open_connection(*address))
    client.write(b"GET /registry/instances?after=0&wait_ms=9000 HTTP/1.1\r\n\r\n")
    while not emulator.stats().waiting:
        await asyncio.sleep(0.001)
    await emulator.set_mode("refuse")
    assert await client.closed_by_peer()
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection(*address)
    await emulator.set_mode("serve")
    assert emulator.address == address
    client = PeerConnection(*await asyncio.open_connection(*address))
    client.write(b"GET /registry/instances?after=0 HTTP/1.1\r\nConnection: close\r\n\r\n")
    assert (await client.read_http())[2] == b'{"index":0,"snapshot":false,"endpoints":[]}'
    assert await client.closed_by_peer()
    await emulator.set_mode("refuse")


def test_change_that_does_not_have_the_next_index_is_rejected() -> None:
    registry = EndpointRegistry()
    registry.replace(5, [])
    with pytest.raises(ValueError, match="change 7 does not follow 5"):
        registry.change(7, [endpoint_entry("a")])
    assert poll(registry, 5) == (5, False, {})


@pytest.mark.parametrize(
    ("target", "expected"),
    [
        ("/registry/instances", Poll(None, 0)),
        ("/registry/instances?after=7&wait_ms=3000", Poll(7, 3000)),
        ("/registry/instances?after=7&wait_ms=-1", Poll(7, 0)),
        ("/registry/instances?after=7&wait_ms=60001", Poll(7, 60_000)),
    ],
)
def test_poll_has_an_index_and_a_bounded_wait(target: str, expected: Poll) -> None:
    assert parse_poll(target) == expected


@pytest.mark.parametrize("target", ["/", "/registry/instances?after=x", "/registry/instances?wait_ms=1.5"])
def test_poll_of_another_path_or_without_numbers_is_rejected(target: str) -> None:
    with pytest.raises(PollError):
        parse_poll(target)


def test_discovery_statistics_count_polls_in_buckets_of_a_tenth_of_a_second() -> None:
    statistics = DiscoveryStatistics()
    statistics.on_connected()
    for now in (10.01, 10.09, 10.31):
        statistics.on_poll(now)
    statistics.on_received(100)
    statistics.on_sent(40)
    statistics.on_sent(2)
    statistics.on_answered()
    statistics.on_answered()
    statistics.on_rejected()
    statistics.on_change(2)
    statistics.on_change_sent(0.25)
    usage = ProcessUsage(at=1.0, cpu_s=0.5, resident_bytes=10, descriptors=3)
    stats = statistics.stats(index=7, open_connections=4, waiting=1, usage=usage)
    assert stats == DiscoveryStats(
        polls=3,
        connections=1,
        answered=2,
        rejected=1,
        bytes_in=100,
        bytes_out=42,
        notification_s=0.25,
        notified_polls=2,
        index=7,
        open=4,
        waiting=1,
        bucket_s=0.1,
        polls_over_time=[[100.0, 2], [103.0, 1]],
        at=1.0,
        cpu_s=0.5,
        resident_bytes=10,
        descriptors=3,
    )
