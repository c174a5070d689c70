"""Clients that disconnect while their connection is not read, over loopback."""

from __future__ import annotations

import socket

import pytest

from cache_router.net import client_connection as clients
from cache_router.net.socket_state import is_hung_up
from tests.event_order import record_written_requests, wait_until
from tests.loopback import HIT, MISS, Link, Router, book, command, http, read, run


async def disconnect(router: Router, client: Link) -> None:
    """Close the client's side and wait until the kernel knows, while the router does not read."""
    (connection,) = router.listener.connections
    assert not connection.transport.is_reading()
    client.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
    await wait_until(lambda: is_hung_up(connection.transport))


@pytest.mark.parametrize("why", ["error", "framing", "slow"])
@pytest.mark.parametrize("end", [MISS, None])  # the origin would be next, or a retry
def test_no_attempt_follows_for_a_client_that_disconnected_while_not_read(
    why: str, end: bytes | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end of the stream comes behind unread input, so that the event loop does not report it."""

    async def scenario() -> None:
        monkeypatch.setattr(clients, "ERROR_THROTTLE_TIME", 60.0)
        async with Router() as router:
            written = record_written_requests(monkeypatch)
            client = await router.client()
            client.write(read("r1") + {"error": command("GET", "k"), "framing": b"noise\r\n"}.get(why, b""))
            cache = await router.cache()
            await cache.resp()
            if why == "slow":  # as its transport does when it takes no answers
                next(iter(router.listener.connections)).pause_writing()
            await disconnect(router, client)
            if end is None:
                cache.reset()
            else:
                cache.write(end)
            await wait_until(lambda: not router.host.requests)
            assert written == ["r1"] and not router.host.router.pending and router.origin.links.empty()
            await wait_until(lambda: not router.listener.connections)

    run(scenario)


@pytest.mark.parametrize("is_read", [True, False])
def test_no_attempt_follows_for_a_client_that_disconnected_while_queued(
    is_read: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(clients, "ERROR_THROTTLE_TIME", 60.0)
        async with Router() as router:
            written = record_written_requests(monkeypatch)
            module = router.host.router
            first = await router.client()
            first.write(book("w1"))  # takes the only place at the origin
            origin = await router.origin.link()
            await origin.http()
            module.endpoints.origins[0].concurrency.limit = 1.0
            client = await router.client()
            client.write(book("w2") + (b"" if is_read else command("GET", "k")))
            await wait_until(lambda: "w2" in module.pending and module.pending["w2"].is_queued)
            connection = list(router.listener.connections)[1]
            if is_read:
                client.close()
                await wait_until(lambda: connection not in router.listener.connections)
            else:
                await wait_until(lambda: not connection.transport.is_reading())
                client.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
                await wait_until(lambda: is_hung_up(connection.transport))
            origin.write(http("200 OK", b"receipt"))
            assert await first.resp() == b"receipt"
            await wait_until(lambda: not router.host.requests)
            assert written == ["w1"] and not module.pending

    run(scenario)


def test_no_attempt_follows_for_a_pipelining_client_that_disconnected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Input beyond the limit of pipelined commands stays unread, and the end of the stream behind it."""

    async def scenario() -> None:
        async with Router() as router:
            written = record_written_requests(monkeypatch)
            client, cache = await router.begun("r0")
            names = [f"r{n}" for n in range(1, 2 * clients.MAX_PIPELINED_COMMANDS)]
            client.write(b"".join(read(n) for n in names))
            await wait_until(lambda: not next(iter(router.listener.connections)).transport.is_reading())
            await disconnect(router, client)
            before = list(written)
            cache.write(HIT)
            await wait_until(lambda: not router.listener.connections)
            assert written == before and not router.host.router.pending

    run(scenario)
