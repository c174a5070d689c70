"""Late second responses and informational responses of servers, over loopback."""

from __future__ import annotations

import asyncio

import pytest

from cache_router.net import upstream_connection
from cache_router.net.origin_connection import OriginConnection
from tests.support.loopback import HIT, encode_hit, encode_http_response, encode_keyed_write, encode_read
from tests.support.loopback_router import Router, router_with


@router_with(reuse_delay=60.0)
async def test_late_second_response_is_not_taken_for_another_request(router: Router) -> None:
    """If the connection is reused immediately, a late response is served as the value of another request."""
    client, first = await router.start_read()
    first.write(HIT)
    assert await client.read_resp() == b"value"
    client.write(encode_read("r2"))
    second = await router.cache()  # a new connection
    assert (await second.read_resp())[2] == b"r2"
    first.write(HIT.replace(b"value", b"stale"))
    assert await first.closed_by_peer()
    second.write(HIT.replace(b"value", b"fresh"))
    assert await client.read_resp() == b"fresh"


@router_with(reuse_delay=0.0)
async def test_connection_is_reused_after_the_reuse_delay(router: Router) -> None:
    """After the delay, a late response is no longer expected, and reuse saves a handshake."""
    client, cache = await router.start_read()
    cache.write(HIT)
    assert await client.read_resp() == b"value"
    client.write(encode_read("r2", "another key"))
    assert (await cache.read_resp())[2] == b"r2"


@router_with(reuse_delay=0.0)
async def test_second_response_behind_the_next_request_is_not_served(router: Router) -> None:
    """The fault: a late copy of a response was served as the value of the next request on its connection."""
    client, cache = await router.start_read()
    cache.write(encode_hit(b"first"))
    assert await client.read_resp() == b"first"
    client.write(encode_read("r2", "another key"))
    assert (await cache.read_resp())[2] == b"r2"
    cache.write(encode_hit(b"first"))
    other = await router.cache()
    assert (await other.read_resp())[2] == b"r2"
    other.write(encode_hit(b"second"))
    assert await client.read_resp() == b"second"


async def test_informational_response_does_not_start_the_completion_timeout(
    router: Router, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The origin sends `100 Continue` immediately, and the final response once its work is done."""
    monkeypatch.setattr(upstream_connection, "RESPONSE_COMPLETION_TIMEOUT", 0.0)
    received = asyncio.Event()
    data_received = OriginConnection.data_received

    def recorded(connection: OriginConnection, data: bytes) -> None:
        data_received(connection, data)
        received.set()

    monkeypatch.setattr(OriginConnection, "data_received", recorded)
    client = await router.client()
    client.write(encode_keyed_write("r1"))
    origin = await router.origin.accept_connection()
    await origin.read_http()
    origin.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    await received.wait()
    for _ in range(5):  # enough turns of the event loop for a timer of 0 s to fire
        await asyncio.sleep(0)
    origin.write(encode_http_response("200 OK", b"receipt"))
    assert await client.read_resp() == b"receipt"
