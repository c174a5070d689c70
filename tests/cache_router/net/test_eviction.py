"""Eviction of clients' connections: its conditions and its order."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from dataclasses import replace

import pytest

from cache_router.net import client_connection_table, eviction
from tests.support.coroutine_tests import DEFAULT_TIME_LIMIT
from tests.support.event_order import wait_until
from tests.support.loopback import HIT, PeerConnection, encode_command, encode_read, error_text
from tests.support.loopback_router import READ, SETTINGS, Router, router_with


async def test_incomplete_command_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """Otherwise connections that never send a complete command would use up the connection limit."""
    monkeypatch.setattr(eviction, "COMMAND_TIMEOUT", 0.5)
    monkeypatch.setattr(eviction, "OVERDUE_CHECK_INTERVAL", 0.01)
    async with Router() as router:
        regular, silent, incomplete = [await router.client() for _ in range(3)]
        regular.write(encode_command("PING"))
        incomplete.write(encode_command("PING") + b"*4\r\n$5\r\nC.G")
        assert await regular.read_resp() == await incomplete.read_resp() == b"PONG"
        assert "no whole command" in error_text(await incomplete.read_resp())
        assert await incomplete.closed_by_peer()
        assert "no whole command" in error_text(await silent.read_resp())
        assert await silent.closed_by_peer()
        await regular.ping()


@router_with(max_clients=2)
async def test_idle_client_is_evicted_at_the_connection_limit(router: Router) -> None:
    """Without eviction no descriptors would be left for attempts and polls of discovery."""
    idle = await router.client()
    busy, cache = await router.start_read()
    third = await router.client()
    assert await idle.closed_by_peer()
    await third.ping()
    cache.write(HIT)
    assert await busy.read_resp() == b"value"


@router_with(max_clients=1)
async def test_new_client_is_not_evicted_while_all_others_are_busy(router: Router) -> None:
    """Evicting the new client would lose its first request."""
    busy, cache = await router.start_read()
    newest = await router.client()
    await newest.ping()
    cache.write(HIT)
    assert await busy.read_resp() == b"value"


async def client_after_pings(router: Router, times: int) -> PeerConnection:
    """Return a client that has sent the given number of PINGs and stays connected."""
    client = await router.client()
    for _ in range(times):
        await client.ping()
    return client


@pytest.fixture
def no_idle_eviction(monkeypatch: pytest.MonkeyPatch) -> None:
    """Prevent the eviction of idle clients above half of the connection limit.

    A client that has sent one command is evicted after 0.1 s. A test that is paused for longer, on a busy
    machine, would lose the client with which it compares others.
    """
    monkeypatch.setattr(eviction, "SINGLE_COMMAND_IDLE_TIMEOUT", DEFAULT_TIME_LIMIT)
    monkeypatch.setattr(eviction, "IDLE_TIMEOUT", DEFAULT_TIME_LIMIT)


@router_with(max_clients=3)
@pytest.mark.usefixtures("no_idle_eviction")
async def test_clients_awaiting_a_command_are_evicted_first(
    router: Router, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise hundreds of silent clients would displace regular ones, which reuse their connections."""
    monkeypatch.setattr(client_connection_table, "FIRST_COMMAND_GRACE", 0.0)
    regular = await client_after_pings(router, 1)
    silent, incomplete = await router.client(), await router.client()
    incomplete.write(b"*4\r\n$5\r\nC.G")
    for evicted in (silent, incomplete):
        await client_after_pings(router, 1)
        assert await evicted.closed_by_peer()
    await regular.ping()


@router_with(max_clients=2)
@pytest.mark.usefixtures("no_idle_eviction")
async def test_throttled_clients_are_evicted_first(router: Router) -> None:
    """A client that keeps sending errors is never idle, and would otherwise never be evicted."""
    regular, erroneous = await client_after_pings(router, 1), await client_after_pings(router, 2)
    erroneous.write(encode_read("r1", info="c=unheard-of,d=900") * 100)
    error_text(await erroneous.read_resp())
    await client_after_pings(router, 1)
    with suppress(ConnectionResetError):
        await erroneous.reader.read()  # returns when the router closes the connection
    await regular.ping()


@router_with(max_clients=2)
@pytest.mark.usefixtures("no_idle_eviction")
async def test_clients_with_a_single_command_are_evicted_before_regular_ones(router: Router) -> None:
    """Otherwise many single-command clients would make regular ones reconnect for every request."""
    regular, single = await client_after_pings(router, 2), await client_after_pings(router, 1)
    await client_after_pings(router, 1)
    assert await single.closed_by_peer()
    await regular.ping()


@router_with(max_clients=4)
async def test_many_single_command_clients_are_accepted_at_once(router: Router) -> None:
    """If idle clients were evicted late, regular ones would wait in the backlog past their deadlines."""
    clients = []
    for _ in range(20):
        clients.append(await router.client())  # sends nothing
        clients.append(await client_after_pings(router, 1))


@router_with(max_clients=4)
async def test_idle_clients_are_evicted_above_half_of_the_connection_limit(
    router: Router, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise clients that send one command and stay would keep memory and descriptors occupied."""
    monkeypatch.setattr(eviction, "IDLE_TIMEOUT", 1.0)
    regular = [await client_after_pings(router, 2) for _ in range(3)]
    single = await client_after_pings(router, 1)
    assert await single.closed_by_peer()
    assert len(router.client_connections()) == 3
    assert await regular[0].closed_by_peer()
    await regular[2].ping()


async def client_with_unread_reply(
    router: Router, value: bytes, monkeypatch: pytest.MonkeyPatch
) -> PeerConnection:
    """Return a client that has not read its reply; the router still buffers a part of it."""
    accept = socket.socket.accept

    def accept_with_small_buffer(listening: socket.socket) -> tuple[socket.socket, object]:
        accepted, address = accept(listening)
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return accepted, address

    small_buffer = socket.socket()
    small_buffer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    small_buffer.connect(router.listener.address)
    with monkeypatch.context() as patch:
        patch.setattr(socket.socket, "accept", accept_with_small_buffer)
        client = router.clients.add(
            PeerConnection(*await asyncio.open_connection(sock=small_buffer, limit=1024))
        )
        await wait_until(router.client_connections)
    client.write(encode_read("r1"))
    cache = await router.cache()
    await cache.read_resp()
    (connection,) = router.client_connections()
    cache.write(b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value))
    # No reply is pending: the last one was passed to the transport, so that the connection counts as idle.
    await wait_until(lambda: connection.has_unsent_output() and not connection.pending_replies)
    return client


@router_with(max_clients=1)
async def test_connection_is_not_evicted_before_its_reply_has_gone_out(
    router: Router, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Evicting the connection would truncate the reply."""
    value = b"x" * 60_000
    client = await client_with_unread_reply(router, value, monkeypatch)
    other = await router.client()
    await other.ping()  # the eviction would have happened by now
    assert await client.read_resp() == value


async def test_client_that_never_reads_its_reply_is_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    """After the client timeout nobody waits for the reply, and the connection would never close."""
    monkeypatch.setattr(eviction, "OVERDUE_CHECK_INTERVAL", 0.01)
    read_class = replace(READ, latency_objective=600.0, client_timeout=0.01)
    async with Router(replace(SETTINGS, classes={"read": read_class})) as router:
        client = await client_with_unread_reply(router, b"x" * 60_000, monkeypatch)
        await wait_until(lambda: not router.client_connections())
        client.close()


async def test_unsent_replies_are_bounded_in_all(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a process that is killed for replies that nobody reads (issue 37, picture b)."""
    monkeypatch.setattr(eviction, "OVERDUE_CHECK_INTERVAL", 0.01)
    monkeypatch.setattr(eviction, "MAX_UNSENT_BYTES", 10_000)
    async with Router() as router:
        client = await client_with_unread_reply(router, b"x" * 60_000, monkeypatch)
        other = await router.client()
        await wait_until(lambda: len(router.client_connections()) == 1)
        await other.ping()
        client.close()
