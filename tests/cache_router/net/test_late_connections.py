"""Connections to servers that are established late, over loopback."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.endpoint import EndpointState
from tests.support.event_order import (
    DelayedConnections,
    first_connection,
    record_written_requests,
    wait_until,
)
from tests.support.loopback import HIT, encode_http_response, encode_keyed_write, encode_read
from tests.support.loopback_router import KEYED_WRITE, READ, SETTINGS, Router


@pytest.mark.parametrize("change", ["draining", "removed", "restarted"])
async def test_connection_established_after_a_drain_notice_is_not_written_to(
    router: Router, change: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After the drain grace period no request may be written to a server that is known to be draining."""
    connections = DelayedConnections(monkeypatch, *router.caches.values())
    client = await router.client()
    client.write(encode_read("r1"))
    name, link = await first_connection(router)
    endpoint = router.dispatcher.endpoints[name]
    updated = {
        "draining": replace(endpoint.entry, state=EndpointState.DRAINING),
        "removed": replace(endpoint.entry, state=EndpointState.REMOVED),
        "restarted": replace(endpoint.entry, started_at=9.0),
    }
    router.dispatcher.on_endpoint_update(EndpointUpdateKind.DELTA, [replace(endpoint, entry=updated[change])])
    connections.released.set()
    assert await link.closed_by_peer()  # nothing was written before
    if change == "restarted":
        other = await router.cache()  # it may be the restarted server
    else:
        other = await next(p for n, p in router.caches.items() if n != name).accept_connection()
    assert (await other.read_resp())[2] == b"r1"
    other.write(HIT)
    assert await client.read_resp() == b"value"


async def test_attempt_carries_the_time_left_when_it_is_written(
    router: Router, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A time computed before connecting let a server work long after the client's deadline."""
    loop = asyncio.get_running_loop()
    connections = DelayedConnections(monkeypatch, *router.caches.values())
    client = await router.client()
    sent_at = loop.time()
    client.write(encode_read("r1"))
    _, link = await first_connection(router)
    await asyncio.sleep(0.3)
    elapsed = loop.time() - sent_at
    connections.released.set()
    info = (await link.read_resp())[3].decode()
    time_left = int(dict(pair.split("=") for pair in info.split(","))["d"]) / 1000
    assert 0 < time_left <= 2.0 - elapsed + 0.001
    link.write(HIT)
    assert await client.read_resp() == b"value"


@pytest.mark.parametrize("cancellation_allowed", [True, False])
async def test_connection_established_after_its_client_disconnected_is_not_written_to(
    cancellation_allowed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No request may be written that nobody waits for, even if its attempt is not cancelled."""
    async with Router(replace(SETTINGS, cancellation_allowed=cancellation_allowed)) as router:
        written = record_written_requests(monkeypatch)
        connections = DelayedConnections(monkeypatch, *router.caches.values())
        client = await router.client()
        client.write(encode_read("r1"))
        await first_connection(router)
        client.close()
        await wait_until(lambda: not router.client_connections())
        connections.released.set()
        await wait_until(lambda: not router.cache_pool.connecting_count)
        assert not written
        assert not router.dispatcher.router.pending


@pytest.mark.parametrize(("window", "is_retried"), [(0.9, False), (60.0, True)])
async def test_keyed_write_is_not_retried_if_it_may_be_written_after_the_idempotency_window(
    window: float, is_retried: bool
) -> None:
    """Servers recognize a retry only within the window; connecting may take a second here."""
    classes = {"read": READ, "book": replace(KEYED_WRITE, idempotency_window=window)}
    async with Router(replace(SETTINGS, classes=classes, connect_timeout=1.0)) as router:
        client = await router.client()
        client.write(encode_keyed_write("r1"))
        origin = await router.origin.accept_connection()
        await origin.read_http()  # received completely, so that it may have been executed
        origin.reset()
        if is_retried:
            origin = await router.origin.accept_connection()
            await origin.read_http()
            origin.write(encode_http_response("200 OK", b"receipt"))
            assert await client.read_resp() == b"receipt"
        else:
            assert str(await client.read_resp()).startswith("BUSY")
            assert router.origin.links.empty()
            assert router.origin_pool.connecting_count == 0
