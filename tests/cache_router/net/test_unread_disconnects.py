"""Clients that disconnect while the router does not read from them, over loopback."""

from __future__ import annotations

import socket

import pytest

from cache_router.net import client_connection
from cache_router.net.input_scheduler import MAX_PIPELINED_COMMANDS
from tests.support.event_order import record_written_requests, wait_until
from tests.support.loopback import (
    HIT,
    MISS,
    PeerConnection,
    encode_command,
    encode_http_response,
    encode_keyed_write,
    encode_read,
)
from tests.support.loopback_router import Router


async def disconnect(router: Router, client: PeerConnection) -> None:
    """Half-close a client that the router does not read from, and wait until the kernel knows of it."""
    (connection,) = router.client_connections()
    assert not connection.is_reading()
    client.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
    await wait_until(connection.is_hung_up)


@pytest.mark.parametrize("state", ["error", "framing", "slow"])
@pytest.mark.parametrize("response", [MISS, None])  # causes of an attempt at the origin and of a retry
async def test_no_attempt_follows_for_a_client_that_disconnected_while_not_read(
    router: Router, state: str, response: bytes | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end of the stream follows unread input, so that the event loop does not report it."""
    monkeypatch.setattr(client_connection, "ERROR_THROTTLE_TIME", 60.0)
    written = record_written_requests(monkeypatch)
    client = await router.client()
    client.write(
        encode_read("r1") + {"error": encode_command("GET", "k"), "framing": b"noise\r\n"}.get(state, b"")
    )
    cache = await router.cache()
    await cache.read_resp()
    if state == "slow":  # the transport pauses writing when the client reads no replies
        router.client_connections()[0].pause_writing()
    await disconnect(router, client)
    if response is None:
        cache.reset()
    else:
        cache.write(response)
    await wait_until(lambda: not router.dispatcher.requests)
    assert written == ["r1"]
    assert not router.dispatcher.router.pending
    assert router.origin.links.empty()
    await wait_until(lambda: not router.client_connections())


@pytest.mark.parametrize("is_read", [True, False])
async def test_no_attempt_follows_for_a_client_that_disconnected_while_queued(
    router: Router, is_read: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Freed capacity of the origin must not be used for a request that nobody waits for."""
    monkeypatch.setattr(client_connection, "ERROR_THROTTLE_TIME", 60.0)
    written = record_written_requests(monkeypatch)
    decisions = router.dispatcher.router
    first = await router.client()
    first.write(encode_keyed_write("w1"))  # uses up the concurrency limit of the origin
    origin = await router.origin.accept_connection()
    await origin.read_http()
    decisions.endpoints.origins[0].concurrency.limit = 1.0
    client = await router.client()
    client.write(encode_keyed_write("w2") + (b"" if is_read else encode_command("GET", "k")))
    await wait_until(lambda: "w2" in decisions.pending and decisions.pending["w2"].is_queued)
    connection = router.client_connections()[1]
    if is_read:
        client.close()
        await wait_until(lambda: connection not in router.client_connections())
    else:
        await wait_until(lambda: not connection.is_reading())
        client.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
        await wait_until(connection.is_hung_up)
    origin.write(encode_http_response("200 OK", b"receipt"))
    assert await first.read_resp() == b"receipt"
    await wait_until(lambda: not router.dispatcher.requests)
    assert written == ["w1"]
    assert not decisions.pending


async def test_no_attempt_follows_for_a_pipelining_client_that_disconnected(
    router: Router, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Input beyond the limit of pipelined commands stays unread, and so does the end of the stream."""
    written = record_written_requests(monkeypatch)
    client, cache = await router.start_read("r0")
    request_ids = [f"r{n}" for n in range(1, 2 * MAX_PIPELINED_COMMANDS)]
    client.write(b"".join(encode_read(n) for n in request_ids))
    await wait_until(lambda: not router.client_connections()[0].is_reading())
    await disconnect(router, client)
    before = list(written)
    cache.write(HIT)
    await wait_until(lambda: not router.client_connections())
    assert written == before
    assert not router.dispatcher.router.pending
