"""One attempt on a connection: its outcome depends on whether the request may have run."""

from __future__ import annotations

import asyncio
import socket

import pytest

from cache_router.decisions.events import AttemptStatus
from cache_router.net import upstream_connection
from cache_router.net.address import parse_address
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.origin_connection import OriginConnection
from cache_router.net.upstream_attempt import UpstreamAttempt, UpstreamResponse
from cache_router.net.upstream_connection import UpstreamConnection
from tests.support.event_order import wait_until
from tests.support.loopback import HIT, Peer, http
from tests.support.upstream_attempts import GET, HUGE_SET, AttemptRecorders


class RecordingOwner:
    """The owner of a connection, which records the notifications in their order."""

    def __init__(self) -> None:
        """Create an owner that was not notified yet."""
        self.notifications: list[str] = []

    def on_connected(self, connection: UpstreamConnection) -> None:
        self.notifications.append("connected")

    def on_idle(self, connection: UpstreamConnection) -> None:
        self.notifications.append("idle")

    def on_closed(self, connection: UpstreamConnection) -> None:
        self.notifications.append("closed")


async def connect(owner: RecordingOwner, peer: Peer) -> CacheConnection:
    """Establish a connection of an owner to a peer."""
    _, connection = await asyncio.get_running_loop().create_connection(
        lambda: CacheConnection(owner, peer.address, "incarnation"), *parse_address(peer.address)
    )
    return connection


async def test_owner_is_notified_of_the_states_of_its_connection(peer: Peer) -> None:
    """A connection that its owner counts after its end would take the place of another."""
    owner = RecordingOwner()
    responses: asyncio.Queue[UpstreamResponse] = asyncio.Queue()
    connection = await connect(owner, peer)
    assert owner.notifications == ["connected"]
    link = await peer.link()
    for _ in range(2):
        connection.send(UpstreamAttempt(GET, 0.5, responses.put_nowait))
        await link.resp()
        link.write(HIT)
        assert (await responses.get()).status is AttemptStatus.OK
    assert owner.notifications == ["connected", "idle", "idle"]
    link.close()
    await wait_until(lambda: "closed" in owner.notifications)
    assert owner.notifications == ["connected", "idle", "idle", "closed"]


async def test_aborted_connection_notifies_its_owner_at_once(peer: Peer) -> None:
    """Counted until the event loop has closed it, it would keep another from being opened."""
    owner = RecordingOwner()
    connection = await connect(owner, peer)
    connection.abort()
    assert owner.notifications == ["connected", "closed"]
    assert not connection.is_usable()


@pytest.mark.parametrize("arrival", ["bytes", "close"])
async def test_idle_connection_is_not_usable_once_bytes_or_a_close_arrive(peer: Peer, arrival: str) -> None:
    """A request written after them would be lost, or be answered by what precedes it."""
    connection = await connect(RecordingOwner(), peer)
    link = await peer.link()
    assert connection.is_usable()
    # before the event loop of the router can see it
    if arrival == "bytes":
        link.write(HIT)
    else:
        link.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
    assert not connection.is_usable()
    connection.abort()


async def test_sending_an_attempt_stops_the_idle_timeout(peer: Peer) -> None:
    """It would close the connection under the request."""
    responses: asyncio.Queue[UpstreamResponse] = asyncio.Queue()
    connection = await connect(RecordingOwner(), peer)
    connection.abort_after(0.0)
    connection.send(UpstreamAttempt(GET, 0.5, responses.put_nowait))
    link = await peer.link()
    await link.resp()
    await asyncio.sleep(0.01)
    link.write(HIT)
    assert (await responses.get()).status is AttemptStatus.OK
    connection.abort()


@pytest.mark.parametrize("kind", [CacheConnection, OriginConnection])
async def test_incomplete_response_ends_its_attempt(
    peer: Peer,
    attempt_recorders: AttemptRecorders,
    kind: type[UpstreamConnection],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise a response shorter than announced would keep its request in flight until the deadline."""
    monkeypatch.setattr(upstream_connection, "RESPONSE_COMPLETION_TIMEOUT", 0.02)
    attempts = attempt_recorders.on_pool(ConnectionPool(kind, 8, 1.0, 60.0, 0.0))
    attempts.start(peer.address)
    link = await peer.link()
    await (link.resp() if kind is CacheConnection else link.http())
    link.write(b"*3\r\n$9\r\nvalue\r\n" if kind is CacheConnection else http("200 OK", b"value")[:-1])
    assert await attempts.outcome() == (AttemptStatus.ERROR, b"")
    assert await link.closed_by_peer()
    assert attempts.pool.established_count == 0


async def test_data_after_a_response_closes_the_connection(
    peer: Peer, attempt_recorders: AttemptRecorders
) -> None:
    """These bytes would be taken for the response to the next request."""
    attempts = attempt_recorders.on_caches()
    link = await attempts.start_on(peer)
    link.write(HIT + HIT)
    assert await attempts.outcome() == (AttemptStatus.OK, b"value")
    assert await link.closed_by_peer()
    assert attempts.pool.idle_count == 0


@pytest.mark.parametrize("how", ["close", "reset"])
async def test_disconnect_after_the_last_byte_is_a_reset(
    peer: Peer, attempt_recorders: AttemptRecorders, how: str
) -> None:
    """Sent elsewhere, a request that is not idempotent might run twice."""
    attempts = attempt_recorders.on_caches()
    link = await attempts.start_on(peer)
    getattr(link, how)()
    assert await attempts.outcome() == (AttemptStatus.RESET, b"")


async def test_disconnect_before_the_last_byte_is_a_failed_connect(
    peer: Peer, attempt_recorders: AttemptRecorders
) -> None:
    """Counted as a reset, a request that is not idempotent could not be retried, though it can't have run."""
    attempts = attempt_recorders.on_caches()
    attempts.start(peer.address, HUGE_SET)
    link = await peer.link()
    await link.reader.read(1)
    link.reset()
    assert await attempts.outcome() == (AttemptStatus.CONNECT_FAILED, b"")


async def test_disconnect_after_a_request_written_in_pieces_is_a_reset(
    peer: Peer, attempt_recorders: AttemptRecorders
) -> None:
    """Bytes that the event loop buffers are written only when the kernel has them."""
    attempts = attempt_recorders.on_caches()
    attempts.start(peer.address, HUGE_SET)
    link = await peer.link()
    assert len(await link.resp()) == 5
    link.reset()
    assert await attempts.outcome() == (AttemptStatus.RESET, b"")


async def test_abandoning_an_attempt_closes_its_connection(
    peer: Peer, attempt_recorders: AttemptRecorders
) -> None:
    """Otherwise the server would continue to work, and its late response would be taken for the next one."""
    attempts = attempt_recorders.on_caches()
    attempt = attempts.start(peer.address)
    link = await peer.link()
    await link.resp()
    attempt.abandon()
    assert await link.closed_by_peer()
    assert attempts.results.empty()


async def test_abandoning_an_attempt_while_connecting_sends_nothing(
    peer: Peer, attempt_recorders: AttemptRecorders
) -> None:
    """Written all the same, the request would run for nobody, and delay the next one."""
    attempts = attempt_recorders.on_caches()
    attempt = attempts.start(peer.address)
    assert attempts.pool.connecting_count == 1
    attempt.abandon()
    await wait_until(lambda: not attempts.pool.connecting_count)
    attempts.start(peer.address)
    link = await peer.link()
    assert (await link.resp())[2] == b"r1"
    assert attempts.pool.established_count == 1
    assert attempts.results.empty()
