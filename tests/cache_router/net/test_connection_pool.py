"""Reuse, closing and the maximum number of pooled connections."""

from __future__ import annotations

import asyncio
import socket

from cache_router.decisions.events import AttemptStatus
from cache_router.net import connection_pool
from tests.support.loopback import HIT, MISS, Peer, format_address
from tests.support.upstream_attempts import OTHER_GET, AttemptRecorders


async def test_longest_idle_connection_is_used_first(peer: Peer, attempt_recorders: AttemptRecorders) -> None:
    """A late second response on a reused connection would be taken for the response to the next request."""
    attempts = attempt_recorders.on_caches()
    links = [await attempts.start_on(peer) for _ in range(2)]
    for link in links:
        link.write(HIT)
        assert await attempts.outcome() == (AttemptStatus.OK, b"value")
    links[1].write(HIT)  # a second response to the same request
    attempts.start(peer.address, OTHER_GET)
    await links[0].read_resp()
    assert await links[1].closed_by_peer()
    links[0].write(MISS)
    assert await attempts.outcome() == (AttemptStatus.MISS, b"")


async def test_connection_to_an_earlier_incarnation_is_not_used(
    peer: Peer, attempt_recorders: AttemptRecorders
) -> None:
    """A failed machine never closes its connections; a request sent on one would wait until its deadline."""
    attempts = attempt_recorders.on_caches()
    link = await attempts.start_on(peer)
    link.write(HIT)
    await attempts.outcome()
    attempts.start(peer.address, incarnation="another")
    assert await link.closed_by_peer()
    assert (await (await peer.accept_connection()).read_resp())[2] == b"r1"


async def test_refused_connection_is_a_failed_connect(attempt_recorders: AttemptRecorders) -> None:
    """No request was sent, so even one that is not idempotent may be sent to another server."""
    async with Peer() as peer:
        address = peer.address
    attempts = attempt_recorders.on_caches()
    attempts.start(address)
    assert await attempts.outcome() == (AttemptStatus.CONNECT_FAILED, b"")
    assert attempts.pool.established_count == 0


async def test_connecting_times_out(attempt_recorders: AttemptRecorders) -> None:
    """An unreachable machine never responds: without a timeout, a request would wait until its deadline."""
    with socket.socket() as listener, socket.socket() as first:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)  # `first` fills the backlog; the next connection gets no response
        first.connect(listener.getsockname())
        attempts = attempt_recorders.on_caches(connect_timeout=0.05)
        attempts.start(format_address(listener.getsockname()))
        assert await attempts.outcome() == (AttemptStatus.CONNECT_FAILED, b"")


async def test_closed_idle_connection_is_not_used(attempt_recorders: AttemptRecorders) -> None:
    """A request sent on it would end as a reset, and could not be retried if it is not idempotent."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.setblocking(False)
        address = format_address(server.getsockname())
        attempts = attempt_recorders.on_caches()
        attempts.start(address)
        first, _ = await loop.sock_accept(server)
        await loop.sock_recv(first, 4096)
        await loop.sock_sendall(first, HIT)
        await attempts.outcome()
        first.close()  # the event loop does not run before the next attempt
        attempts.start(address)
        second, _ = await loop.sock_accept(server)
        await loop.sock_recv(second, 4096)
        await loop.sock_sendall(second, MISS)
        assert await attempts.outcome() == (AttemptStatus.MISS, b"")
        second.close()


async def test_idle_connection_is_closed_before_its_server_would(
    peer: Peer, attempt_recorders: AttemptRecorders
) -> None:
    """A request that is sent while the server closes the connection is lost."""
    attempts = attempt_recorders.on_caches(idle_timeout=connection_pool.IDLE_MARGIN + 0.01)
    link = await attempts.start_on(peer)
    link.write(HIT)
    assert await attempts.outcome() == (AttemptStatus.OK, b"value")
    assert await link.closed_by_peer()
    assert attempts.pool.established_count == 0


async def test_connections_stay_within_their_limit(attempt_recorders: AttemptRecorders) -> None:
    """Without a limit, a burst would use up the descriptors that clients need."""
    async with Peer() as one, Peer() as other:
        attempts = attempt_recorders.on_caches(max_connections=1)
        attempts.start(one.address)
        link = await one.accept_connection()
        await link.read_resp()
        attempts.start(other.address)
        # If this were counted as a fault of the server, its keys would be moved to other servers.
        assert await attempts.outcome() == (AttemptStatus.NOT_SENT, b"")
        link.write(HIT)
        assert await attempts.outcome() == (AttemptStatus.OK, b"value")
        attempts.start(other.address)  # closes the idle connection to stay within the limit
        assert await link.closed_by_peer()
        await (await other.accept_connection()).read_resp()


async def test_longest_idle_connection_to_any_server_is_closed_for_another(
    attempt_recorders: AttemptRecorders,
) -> None:
    """If the pool always closed connections to one server, each request to it would need a handshake."""
    async with Peer() as one, Peer() as two, Peer() as three:
        attempts = attempt_recorders.on_caches(max_connections=2)
        first, second = await attempts.start_on(one), await attempts.start_on(two)
        for link in (second, first):
            link.write(HIT)
            await attempts.outcome()
        attempts.start(three.address)
        assert await second.closed_by_peer()
        assert attempts.pool.idle_count == 1
