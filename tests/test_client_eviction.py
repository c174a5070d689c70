"""Eviction of clients that do not read their replies, over loopback."""

from __future__ import annotations

import asyncio
import socket

import pytest

from cache_router.net import eviction
from tests.event_order import wait_until
from tests.loopback import Link, Router, command, read, run


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
        async with Router(clients=1) as router:
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
