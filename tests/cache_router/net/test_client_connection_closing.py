"""Closing of clients' connections by the router or the client, and the removal of their state."""

from __future__ import annotations

import asyncio
import socket

import pytest

from cache_router.net import client_connection, client_socket
from cache_router.net.client_connection import ClientConnection
from cache_router.net.client_connection_table import ClientConnectionTable
from tests.support.coroutine_tests import LoopErrors
from tests.support.event_order import wait_until
from tests.support.loopback import PeerConnection, encode_command, encode_read, error_text
from tests.support.loopback_router import Router, router_with


async def accepted_connection(
    router: Router, table: ClientConnectionTable
) -> tuple[PeerConnection, ClientConnection]:
    """Connect a client whose connection reports to `table`; return the client's and the router's side."""
    client_socket, accepted_socket = socket.socketpair()
    accepted_socket.setblocking(False)
    _transport, connection = await asyncio.get_running_loop().connect_accepted_socket(
        lambda: ClientConnection(router.dispatcher, table), accepted_socket
    )
    return router.clients.add(PeerConnection(*await asyncio.open_connection(sock=client_socket))), connection


@pytest.mark.parametrize("cause", ["abort", "reset"])
async def test_closed_connection_is_removed_from_the_table(router: Router, cause: str) -> None:
    """A closed connection has no socket: a check of it stopped the listener, and nobody could connect."""
    table = ClientConnectionTable()
    client, connection = await accepted_connection(router, table)
    other, remaining = await accepted_connection(router, table)
    client.write(encode_read("r1", info="c=unheard-of,d=900"))
    error_text(await client.read_resp())
    if cause == "abort":
        connection.abort()
        assert list(table) == [remaining]
    else:
        client.reset()
        await wait_until(lambda: list(table) == [remaining])
    await asyncio.sleep(2 * client_connection.ERROR_THROTTLE_TIME)
    await other.ping()
    assert list(table) == list(table.idle_since) == [remaining]
    assert not table.awaiting_command_since
    remaining.abort()


async def test_aborted_connection_leaves_the_table_before_the_event_loop_reports_it_lost(
    router: Router,
) -> None:
    """The evictor checks the table's size right after an abort, and would evict another connection."""
    client = await client_after_ping(router)
    (connection,) = router.client_connections()
    connection.abort()
    assert not router.client_connections()
    assert await client.closed_by_peer()


async def client_after_ping(router: Router) -> PeerConnection:
    """Return a client that has sent a command and received its reply."""
    client = await router.client()
    await client.ping()
    return client


async def test_closing_connection_gets_no_further_error(router: Router) -> None:
    """A reply after the close would be written to a transport that discards it."""
    client = await client_after_ping(router)
    (connection,) = router.client_connections()
    connection.close_if_between_requests()
    connection.close_with_error("-ERR late")
    assert not connection.pending_replies
    assert await client.closed_by_peer()


@router_with(max_clients=1)
async def test_clients_are_accepted_after_a_throttled_connection_has_closed(router: Router) -> None:
    """The end of throttling must not add the closed connection to the table again."""
    client = await router.client()
    client.write(encode_read("r1", info="c=unheard-of,d=900"))
    error_text(await client.read_resp())
    client.reset()
    await wait_until(lambda: not router.client_connections())
    await asyncio.sleep(2 * client_connection.ERROR_THROTTLE_TIME)
    for _ in range(2):
        await (await router.client()).ping()


async def test_client_that_reads_its_last_reply_late_causes_no_error(
    router: Router, monkeypatch: pytest.MonkeyPatch, loop_errors: LoopErrors
) -> None:
    """Guards against an abort of a connection that has closed meanwhile, an exception in the event loop."""
    monkeypatch.setattr(client_socket, "CLOSE_TIMEOUT", 0.1)
    table = ClientConnectionTable()
    client, connection = await accepted_connection(router, table)
    monkeypatch.setattr(client_connection, "PONG_REPLY", b"x" * 4_000_000)
    client.write(encode_command("PING"))
    await wait_until(connection.has_unsent_output)
    connection.close()
    assert len(await client.reader.read()) == 4_000_000
    assert not list(table)
    await asyncio.sleep(0.2)
    assert not loop_errors
