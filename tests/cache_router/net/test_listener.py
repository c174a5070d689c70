"""The listening socket: failed accepts and graceful shutdown."""

from __future__ import annotations

import asyncio
import errno
import os
import socket

import pytest

from cache_router.net import listener
from tests.support.event_order import wait_until
from tests.support.loopback import HIT, encode_command
from tests.support.loopback_router import Router


async def test_failed_accept_is_retried_after_a_delay(
    router: Router, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """When descriptors run out, the accept loop must neither end nor retry without a pause."""
    accept, calls, exhausted = socket.socket.accept, 0, True
    address = router.listener.address

    def failing(listener: socket.socket) -> tuple[socket.socket, object]:
        nonlocal calls
        if listener.getsockname() == address:
            calls += 1
            if exhausted:
                raise OSError(errno.EMFILE, "too many open files")
        return accept(listener)

    monkeypatch.setattr(socket.socket, "accept", failing)
    first = await router.client()
    first.write(encode_command("PING"))
    await asyncio.sleep(3 * listener.MAX_ACCEPT_RETRY_DELAY)
    assert 1 <= calls <= 10  # one call per pause; a busy loop would make thousands
    assert f"accepting on {address} failed: [Errno {errno.EMFILE}]" in caplog.text
    exhausted = False
    assert await first.read_resp() == b"PONG"
    second = await router.client()
    await second.ping()


async def test_incomplete_command_does_not_delay_shutdown(router: Router) -> None:
    """Otherwise the router would wait for a client that never completes its command, until SIGKILL."""
    client = await router.client()
    client.write(encode_command("PING") + b"*4\r\n$5\r\nC.G")
    assert await client.read_resp() == b"PONG"
    await router.listener.stop(0.0, 0.05)
    (connection,) = router.client_connections()
    connection.abort()


async def test_accepted_requests_are_answered_during_shutdown(router: Router) -> None:
    """Requests that have been accepted but not answered when the router exits are lost."""
    idle = await router.client()
    busy, cache = await router.start_read()
    shutdown = asyncio.create_task(router.listener.stop(0.05, 5.0))
    late = await router.client()  # connections are still accepted
    await late.ping()
    assert await idle.closed_by_peer()
    assert await late.closed_by_peer()
    assert not shutdown.done()
    cache.write(HIT)
    assert await busy.read_resp() == b"value"
    assert await busy.closed_by_peer()
    await shutdown
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection(*busy.writer.get_extra_info("peername"))


class FaultyAccepts:
    """Lets the listener's accepts fail with an error while it is set."""

    def __init__(self, router: Router, monkeypatch: pytest.MonkeyPatch) -> None:
        """Replace `socket.accept` for the listening socket of a router."""
        self.errors: list[int] = []  # numbers of the errors with which the next accepts fail
        accept, address = socket.socket.accept, router.listener.address

        def accept_or_fail(listening: socket.socket) -> tuple[socket.socket, object]:
            if self.errors and listening.getsockname() == address:
                number = self.errors.pop(0)
                raise OSError(number, os.strerror(number))
            return accept(listening)

        monkeypatch.setattr(socket.socket, "accept", accept_or_fail)


@pytest.mark.parametrize(
    "number", [errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ETIMEDOUT, errno.EHOSTUNREACH]
)
async def test_client_that_disconnects_before_it_is_accepted_delays_no_other(
    router: Router, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    """Guards against a pause of all accepts for the fault of one client (issue 38)."""
    monkeypatch.setattr(listener, "MIN_ACCEPT_RETRY_DELAY", 60.0)
    faults = FaultyAccepts(router, monkeypatch)
    faults.errors = [number] * 3
    client = await router.client()
    await client.ping()
    assert not faults.errors


async def test_clients_are_accepted_together(router: Router, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one turn of the event loop, or more, for each client that connects (issue 37)."""
    clients = [await router.clients.connect(router.listener.address) for _ in range(8)]
    await wait_until(lambda: len(router.listener.open_connections()) == len(clients))
    for client in clients:
        client.reset()
    await wait_until(lambda: not router.listener.open_connections())
    turns = 0
    sockets = [socket.create_connection(router.listener.address) for _ in range(8)]
    while len(router.listener.open_connections()) < len(sockets):
        turns += 1
        await asyncio.sleep(0)
    for each in sockets:
        each.close()
    assert turns <= 5
