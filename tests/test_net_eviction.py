"""Eviction of clients' connections: when, and which first."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

import pytest

from cache_router.net import client_connection_table, eviction
from tests.event_order import wait_until
from tests.loopback import HIT, Link, Router, command, error_text, read, run


def test_incomplete_command_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections that never send a whole command would fill the budget: nobody could connect any more."""

    async def scenario() -> None:
        monkeypatch.setattr(eviction, "COMMAND_TIMEOUT", 0.5)
        monkeypatch.setattr(eviction, "OVERDUE_CHECK_INTERVAL", 0.01)
        async with Router() as router:
            usual, silent, half = [await router.client() for _ in range(3)]
            usual.write(command("PING"))
            half.write(command("PING") + b"*4\r\n$5\r\nC.G")
            assert await usual.resp() == await half.resp() == b"PONG"
            assert "no whole command" in error_text(await half.resp()) and await half.closed_by_peer()
            assert "no whole command" in error_text(await silent.resp()) and await silent.closed_by_peer()
            usual.write(command("PING"))
            assert await usual.resp() == b"PONG"

    run(scenario)


def test_idle_client_is_evicted_at_the_connection_limit() -> None:
    """Past the limit on descriptors nothing works: no attempt and no list. Idle clients make room."""

    async def scenario() -> None:
        async with Router(max_clients=2) as router:
            idle = await router.client()
            busy, cache = await router.start_read()
            third = await router.client()
            assert await idle.closed_by_peer()
            third.write(command("PING"))
            assert await third.resp() == b"PONG"
            cache.write(HIT)
            assert await busy.resp() == b"value"

    run(scenario)


def test_new_client_is_not_evicted_while_all_others_are_busy() -> None:
    """Closed for its own sake, it would take its first request along."""

    async def scenario() -> None:
        async with Router(max_clients=1) as router:
            busy, cache = await router.start_read()
            newest = await router.client()
            newest.write(command("PING"))
            assert await newest.resp() == b"PONG"
            cache.write(HIT)
            assert await busy.resp() == b"value"

    run(scenario)


async def client_after_pings(router: Router, times: int) -> Link:
    """A client that has asked so often and stays."""
    client = await router.client()
    for _ in range(times):
        client.write(command("PING"))
        assert await client.resp() == b"PONG"
    return client


def test_clients_awaiting_a_command_are_evicted_first(monkeypatch: pytest.MonkeyPatch) -> None:
    """Silent clients by hundreds would drive out the usual ones, which ask on connections that they keep."""

    async def scenario() -> None:
        monkeypatch.setattr(client_connection_table, "FIRST_COMMAND_GRACE", 0.0)
        async with Router(max_clients=3) as router:
            usual = await client_after_pings(router, 1)
            silent, half = await router.client(), await router.client()
            half.write(b"*4\r\n$5\r\nC.G")
            newer = []  # kept, or they would close
            for gone in (silent, half):
                newer.append(await client_after_pings(router, 1))
                assert await gone.closed_by_peer()
            usual.write(command("PING"))
            assert await usual.resp() == b"PONG"

    run(scenario)


def test_throttled_clients_are_evicted_first() -> None:
    """Never idle, as the next error waits behind the last, they would hold their places for good."""

    async def scenario() -> None:
        async with Router(max_clients=2) as router:
            usual, wrong = await client_after_pings(router, 1), await client_after_pings(router, 2)
            wrong.write(read("r1", info="c=unheard-of,d=900") * 100)
            error_text(await wrong.resp())
            _newest = await client_after_pings(router, 1)
            with suppress(ConnectionResetError):
                await wrong.reader.read()  # to its end
            usual.write(command("PING"))
            assert await usual.resp() == b"PONG"

    run(scenario)


def test_clients_with_a_single_command_are_evicted_before_regular_ones() -> None:
    """A crowd that asks once and stays would cost the usual clients a connection for every request."""

    async def scenario() -> None:
        async with Router(max_clients=2) as router:
            usual, once = await client_after_pings(router, 2), await client_after_pings(router, 1)
            _newest = await client_after_pings(router, 1)
            assert await once.closed_by_peer()
            usual.write(command("PING"))
            assert await usual.resp() == b"PONG"

    run(scenario)


def test_crowd_of_single_command_clients_is_accepted_at_once() -> None:
    """Let in only as others had been idle for long, usual clients waited in the backlog past deadlines."""

    async def scenario() -> None:
        async with Router(max_clients=4) as router:
            crowd = []
            for _ in range(20):
                crowd += [
                    await router.client(),
                    await client_after_pings(router, 1),
                ]  # the first says nothing

    run(scenario)


def test_idle_clients_are_evicted_above_half_of_the_connection_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients that ask once and stay for good would take memory and descriptors without end."""

    async def scenario() -> None:
        monkeypatch.setattr(eviction, "IDLE_TIMEOUT", 1.0)
        async with Router(max_clients=4) as router:
            usual = [await client_after_pings(router, 2) for _ in range(3)]
            once = await client_after_pings(router, 1)
            assert await once.closed_by_peer() and len(router.listener.connections) == 3
            assert await usual[0].closed_by_peer()
            usual[2].write(command("PING"))
            assert await usual[2].resp() == b"PONG"

    run(scenario)


async def client_with_unread_reply(router: Router, answer: bytes) -> Link:
    """Return a client that has not read its reply, a part of which the router still buffers."""
    plain = socket.socket()
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    plain.connect(router.listener.socket.getsockname())
    client = Link(*await asyncio.open_connection(sock=plain, limit=1024))
    client.write(read("r1"))
    cache = await router.cache()
    await cache.resp()
    (connection,) = router.listener.connections
    connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    cache.write(b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(answer), answer))
    await wait_until(
        lambda: connection in router.listener.connections.idle and connection.has_unsent_output()
    )
    return client


def test_connection_is_not_evicted_before_its_reply_has_gone_out() -> None:
    """A reply cut short by the router is lost."""

    async def scenario() -> None:
        answer = b"x" * 60_000
        async with Router(max_clients=1) as router:
            slow = await client_with_unread_reply(router, answer)
            other = await router.client()
            other.write(command("PING"))
            assert await other.resp() == b"PONG"  # the eviction would have happened by now
            assert await slow.resp() == answer

    run(scenario)


def test_client_that_never_reads_its_reply_is_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(eviction, "OVERDUE_CHECK_INTERVAL", 0.01)
        async with Router() as router:
            slow = await client_with_unread_reply(router, b"x" * 60_000)
            router.listener.evictor.longest_client_timeout = 0.0
            await wait_until(lambda: not router.listener.connections)
            slow.close()

    run(scenario)
