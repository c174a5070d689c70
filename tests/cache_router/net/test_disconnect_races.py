"""Clients that disconnect just before an attempt, or before their request is read, over loopback."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from cache_router.decisions.actions import Send
from cache_router.decisions.events import Timer, TimerFired, TimerKind
from cache_router.net import input_scheduler
from cache_router.net.client_connection import ClientConnection
from cache_router.net.upstream_attempt import UpstreamAttempt, UpstreamResponse
from tests.support.event_order import (
    DelayedConnections,
    first_connection,
    record_written_requests,
    wait_until,
)
from tests.support.loopback import (
    HIT,
    MISS,
    PeerConnection,
    encode_command,
    encode_hit,
    encode_http_response,
    encode_keyed_write,
    encode_read,
)
from tests.support.loopback_router import Router, router_with
from tests.support.upstream_attempts import OTHER_GET

# The response that leaves a connection idle. A later response with the same value would count as its copy.
FIRST_HIT = encode_hit(b"first")
# Ways in which a client disconnects.
DISCONNECTS = ["closes", "half-closes", "resets"]


def blocking_client(router: Router) -> socket.socket:
    """Return a client on a blocking socket, which can act before the router's event loop runs again."""
    return socket.create_connection(router.listener.address)


def disconnect_blocking_client(client: socket.socket, how: str) -> None:
    """Disconnect in one of the ways of DISCONNECTS; the kernel knows of it when this returns."""
    if how == "half-closes":
        client.shutdown(socket.SHUT_WR)
        return
    if how == "resets":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


async def connection_of(router: Router, client: socket.socket) -> ClientConnection:
    """Wait for the router's side of a client's connection, and return it."""
    address = client.getsockname()

    def found() -> list[ClientConnection]:
        return [c for c in router.client_connections() if c.client_address == address]

    await wait_until(found)
    return found()[0]


async def wait_until_settled(router: Router) -> None:
    """Wait until nothing is in flight, so that no attempt can follow."""
    dispatcher = router.dispatcher
    pools = (router.cache_pool, router.origin_pool)
    await wait_until(lambda: not dispatcher.requests and not any(pool.connecting_count for pool in pools))
    assert not dispatcher.router.pending
    assert not dispatcher.router.attempts


async def open_idle_connections(router: Router) -> dict[str, PeerConnection]:
    """Open an idle connection to each server, so that attempts are written at once; return all by name."""
    endpoints = router.dispatcher.endpoints
    links: dict[str, PeerConnection] = {}
    responses: asyncio.Queue[UpstreamResponse] = asyncio.Queue()
    for name in endpoints:
        endpoint = endpoints[name]
        pool, peer = endpoints.pool_of(endpoint), router.caches.get(name, router.origin)
        attempt = UpstreamAttempt(OTHER_GET, 60.0, responses.put_nowait)
        pool.start(attempt, endpoint.address, endpoint.incarnation)
        links[name] = link = await peer.accept_connection()
        await (link.read_http() if peer is router.origin else link.read_resp())
        link.write(encode_http_response("200 OK", b"first") if peer is router.origin else FIRST_HIT)
        await responses.get()
    return links


async def link_of_next_request(links: dict[str, PeerConnection]) -> PeerConnection:
    """Return the connection to a cache server, `a` or `b`, on which the next request arrives."""
    reads = {asyncio.ensure_future(links[name].read_resp()): links[name] for name in ("a", "b")}
    done, (other,) = await asyncio.wait(reads, return_when=asyncio.FIRST_COMPLETED)
    other.cancel()
    return reads[done.pop()]


@pytest.mark.parametrize("how", DISCONNECTS)
@router_with(max_clients=1)
async def test_request_of_a_client_that_disconnected_in_the_backlog_is_not_forwarded(
    router: Router, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection is accepted, and its request read, only long after the disconnect."""
    router.list_caches("a")
    regular, cache = await router.client(), (await open_idle_connections(router))["a"]
    written = record_written_requests(monkeypatch)
    regular.write(encode_read("u1"))
    assert (await cache.read_resp())[2] == b"u1"
    surplus = await router.client()  # one client above the limit: later ones stay in the backlog
    surplus.write(encode_read("u2"))
    other = await router.caches["a"].accept_connection()
    assert (await other.read_resp())[2] == b"u2"
    client = blocking_client(router)
    client.sendall(encode_read("r1"))
    disconnect_blocking_client(client, how)
    cache.write(HIT)
    assert await regular.read_resp() == b"value"
    last = await router.client()
    await last.ping()  # the reply shows that `client` has been accepted too
    other.write(HIT)
    assert await surplus.read_resp() == b"value"
    client.close()
    await wait_until_settled(router)
    assert "r1" not in written


@pytest.mark.parametrize("how", DISCONNECTS)
@pytest.mark.parametrize("cause", ["pipeline", "error", "slow", "lag"])
async def test_request_read_after_its_client_disconnected_is_not_forwarded(
    router: Router, cause: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end of the stream follows the request, and may be read only long after it."""
    router.list_caches("a")
    cache = (await open_idle_connections(router))["a"]
    written = record_written_requests(monkeypatch)
    client = blocking_client(router)
    connection = await connection_of(router, client)
    if cause == "pipeline":
        monkeypatch.setattr(input_scheduler, "MAX_PIPELINED_COMMANDS", 1)
        client.sendall(encode_read("r0"))
        assert (await cache.read_resp())[2] == b"r0"
    elif cause == "error":
        client.sendall(encode_command("GET", "k"))
        await wait_until(connection.is_throttled_only)
    elif cause == "slow":
        connection.pause_writing()
    client.sendall(encode_read("r1"))
    disconnect_blocking_client(client, how)
    if cause == "pipeline":
        cache.write(HIT)
    elif cause == "slow":
        connection.resume_writing()
    await wait_until(lambda: connection not in router.client_connections())
    client.close()
    await wait_until_settled(router)
    assert "r1" not in written


@pytest.mark.parametrize("how", DISCONNECTS)
async def test_nothing_is_written_for_a_client_that_disconnected_just_before_the_connection_is_established(
    router: Router, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The event loop handles the new connection first, and the client's disconnect right after it."""
    await open_idle_connections(router)
    written = record_written_requests(monkeypatch)
    connections = DelayedConnections(monkeypatch, *router.caches.values())
    client = blocking_client(router)
    await connection_of(router, client)
    for cache in router.caches.values():
        router.cache_pool.close_idle(cache.address)
    assert router.cache_pool.idle_count == 0
    client.sendall(encode_read("r1"))
    await first_connection(router)
    disconnect_blocking_client(client, how)
    connections.released.set()
    await wait_until_settled(router)
    assert written == []
    client.close()


@pytest.mark.parametrize("how", DISCONNECTS)
@pytest.mark.parametrize("cause", ["miss", "reset", "timer"])
async def test_read_is_not_attempted_again_for_a_client_that_disconnected_at_the_same_time(
    router: Router, cause: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The event loop handles the cause of the attempt first, and the client's disconnect right after it."""
    links = await open_idle_connections(router)
    written = record_written_requests(monkeypatch)
    DelayedConnections(monkeypatch, *router.caches.values())
    client = blocking_client(router)
    await connection_of(router, client)
    client.sendall(encode_read("r1"))
    cache = await link_of_next_request(links)
    if cause == "miss":
        cache.write(MISS)
    elif cause == "reset":
        cache.reset()
        await asyncio.sleep(0)  # lets the event loop send the reset
    disconnect_blocking_client(client, how)
    if cause == "timer":
        fire_hedge_timer(router, monkeypatch)
    await wait_until_settled(router)
    assert written == ["r1"]
    client.close()


def fire_hedge_timer(router: Router, monkeypatch: pytest.MonkeyPatch) -> None:
    """Fire the hedge timer of `r1`; a patched decision module returns attempts at all servers for it."""
    # Only the first event returns attempts. Their outcomes are events too: attempts returned for those would
    # start an endless loop that uses up all memory and never yields to the test's time limit.
    batches = iter([[Send("r1", name) for name in router.dispatcher.endpoints]])
    with monkeypatch.context() as patch:
        patch.setattr(router.dispatcher.router, "handle", lambda now, event: next(batches, []))
        router.dispatcher.post(TimerFired(Timer(TimerKind.HEDGE, "r1")))


@pytest.mark.parametrize("how", DISCONNECTS)
async def test_rejected_write_is_not_attempted_again_for_a_client_that_disconnected_at_the_same_time(
    router: Router, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The event loop handles the rejection first, and the client's disconnect right after it."""
    links = await open_idle_connections(router)
    origin = links["o"]
    written = record_written_requests(monkeypatch)
    client = blocking_client(router)
    await connection_of(router, client)
    client.sendall(encode_keyed_write("r1"))
    await origin.read_http()
    origin.write(encode_http_response("503 Busy", b"", "Not-Started: 1"))
    disconnect_blocking_client(client, how)
    await wait_until_settled(router)
    assert written == ["r1"]
    client.close()
