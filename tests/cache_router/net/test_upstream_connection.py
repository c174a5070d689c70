"""Attempts on a connection, whose outcome depends on whether the server may have run the request."""

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
from tests.support.loopback import HIT, Peer, encode_hit, encode_http_response
from tests.support.upstream_attempts import GET, HUGE_SET, OTHER_GET, AttemptRecorders


class RecordingOwner:
    """The owner of a connection; records notifications in order."""

    def __init__(self) -> None:
        """Create an owner without notifications."""
        self.notifications: list[str] = []

    def on_connected(self, connection: UpstreamConnection) -> None:
        self.notifications.append("connected")

    def on_idle(self, connection: UpstreamConnection) -> None:
        self.notifications.append("idle")

    def on_closed(self, connection: UpstreamConnection) -> None:
        self.notifications.append("closed")


async def connect(owner: RecordingOwner, peer: Peer) -> CacheConnection:
    """Connect to a peer; return the connection, which notifies the owner of its states."""
    _, connection = await asyncio.get_running_loop().create_connection(
        lambda: CacheConnection(owner, peer.address, "incarnation"), *parse_address(peer.address)
    )
    return connection


async def test_owner_is_notified_of_the_states_of_its_connection(peer: Peer) -> None:
    """A closed connection that its owner still counts would use up part of the connection limit."""
    owner = RecordingOwner()
    responses: asyncio.Queue[UpstreamResponse] = asyncio.Queue()
    connection = await connect(owner, peer)
    assert owner.notifications == ["connected"]
    link = await peer.accept_connection()
    for command, response in ((GET, HIT), (OTHER_GET, encode_hit(b"other"))):
        connection.send(UpstreamAttempt(command, 0.5, responses.put_nowait))
        await link.read_resp()
        link.write(response)
        assert (await responses.get()).status is AttemptStatus.OK
    assert owner.notifications == ["connected", "idle", "idle"]
    link.close()
    await wait_until(lambda: "closed" in owner.notifications)
    assert owner.notifications == ["connected", "idle", "idle", "closed"]


async def test_aborted_connection_notifies_its_owner_at_once(peer: Peer) -> None:
    """If the pool counted it until the event loop has closed it, no other could be opened in its place."""
    owner = RecordingOwner()
    connection = await connect(owner, peer)
    connection.abort()
    assert owner.notifications == ["connected", "closed"]
    assert not connection.is_usable()


@pytest.mark.parametrize("arrival", ["bytes", "close"])
async def test_idle_connection_is_not_usable_once_bytes_or_a_close_arrive(peer: Peer, arrival: str) -> None:
    """A request written now would be lost, or the received bytes would be taken for its response."""
    connection = await connect(RecordingOwner(), peer)
    link = await peer.accept_connection()
    assert connection.is_usable()
    # The arrival is not yet processed by the router's event loop.
    if arrival == "bytes":
        link.write(HIT)
    else:
        link.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
    assert not connection.is_usable()
    connection.abort()


async def test_sending_an_attempt_stops_the_idle_timeout(peer: Peer) -> None:
    """The idle timeout would otherwise close the connection while the request is in flight."""
    responses: asyncio.Queue[UpstreamResponse] = asyncio.Queue()
    connection = await connect(RecordingOwner(), peer)
    connection.abort_after(0.0)
    connection.send(UpstreamAttempt(GET, 0.5, responses.put_nowait))
    link = await peer.accept_connection()
    await link.read_resp()
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
    """Without a timeout, a truncated response would keep its request in flight until the deadline."""
    monkeypatch.setattr(upstream_connection, "RESPONSE_COMPLETION_TIMEOUT", 0.02)
    attempts = attempt_recorders.on_pool(ConnectionPool(kind, 8, 1.0, 60.0, 0.0))
    attempts.start(peer.address)
    link = await peer.accept_connection()
    await (link.read_resp() if kind is CacheConnection else link.read_http())
    link.write(
        b"*3\r\n$9\r\nvalue\r\n" if kind is CacheConnection else encode_http_response("200 OK", b"value")[:-1]
    )
    assert await attempts.outcome() == (AttemptStatus.ERROR, b"")
    assert await link.closed_by_peer()
    assert attempts.pool.established_count == 0


async def test_data_after_a_response_closes_the_connection(
    peer: Peer, attempt_recorders: AttemptRecorders
) -> None:
    """The extra bytes would be taken for the response to the next request."""
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
    """The server may have run the request; if it is not idempotent, a retry might run it twice."""
    attempts = attempt_recorders.on_caches()
    link = await attempts.start_on(peer)
    getattr(link, how)()
    assert await attempts.outcome() == (AttemptStatus.RESET, b"")


async def test_disconnect_before_the_last_byte_is_a_failed_connect(
    peer: Peer, attempt_recorders: AttemptRecorders
) -> None:
    """The server can't have run the request, so even one that is not idempotent may be retried."""
    attempts = attempt_recorders.on_caches()
    attempts.start(peer.address, HUGE_SET)
    link = await peer.accept_connection()
    await link.reader.read(1)
    link.reset()
    assert await attempts.outcome() == (AttemptStatus.CONNECT_FAILED, b"")


async def test_disconnect_after_a_request_written_in_pieces_is_a_reset(
    peer: Peer, attempt_recorders: AttemptRecorders
) -> None:
    """Buffered bytes count as written once the event loop has passed them to the kernel."""
    attempts = attempt_recorders.on_caches()
    attempts.start(peer.address, HUGE_SET)
    link = await peer.accept_connection()
    assert len(await link.read_resp()) == 5
    link.reset()
    assert await attempts.outcome() == (AttemptStatus.RESET, b"")


async def test_abandoning_an_attempt_closes_its_connection(
    peer: Peer, attempt_recorders: AttemptRecorders
) -> None:
    """If the connection stayed open, the server would keep working on the request.

    Its late response would be taken for the response to the next request.
    """
    attempts = attempt_recorders.on_caches()
    attempt = attempts.start(peer.address)
    link = await peer.accept_connection()
    await link.read_resp()
    attempt.abandon()
    assert await link.closed_by_peer()
    assert attempts.results.empty()


async def test_abandoning_an_attempt_while_connecting_sends_nothing(
    peer: Peer, attempt_recorders: AttemptRecorders
) -> None:
    """If the request were still sent, the server would run it in vain and delay the next request."""
    attempts = attempt_recorders.on_caches()
    attempt = attempts.start(peer.address)
    assert attempts.pool.connecting_count == 1
    attempt.abandon()
    await wait_until(lambda: not attempts.pool.connecting_count)
    attempts.start(peer.address)
    link = await peer.accept_connection()
    assert (await link.read_resp())[2] == b"r1"
    assert attempts.pool.established_count == 1
    assert attempts.results.empty()
