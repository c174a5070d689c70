"""The listening socket: failed accepts and graceful shutdown."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from cache_router.net import listener
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
    await asyncio.sleep(3 * listener.ACCEPT_RETRY_DELAY)
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
