"""Valid and invalid commands on a client's connection, and the order of their replies."""

from __future__ import annotations

import asyncio

import pytest

from cache_router.net import client_connection
from cache_router.net.address import Address
from cache_router.net.client_connection import ClientConnection
from cache_router.net.input_scheduler import MAX_PIPELINED_COMMANDS
from cache_router.net.pipelined_replies import PipelinedReply
from tests.support.event_order import record_written_requests, wait_until
from tests.support.loopback import HIT, PeerConnection, encode_command, encode_read, error_text
from tests.support.loopback_router import Router, router_with


async def test_replies_are_written_in_the_order_of_the_commands(router: Router) -> None:
    """RESP replies carry no id: in another order a client would take one value for another."""
    client = await router.client()
    client.write(encode_read("r1") + encode_read("r2") + encode_command("PING"))
    caches = [await router.cache(), await router.cache()]
    by_request = {(await cache.read_resp())[2]: cache for cache in caches}
    by_request[b"r2"].write(HIT.replace(b"value", b"later"))
    await wait_until(lambda: "r2" not in router.dispatcher.requests)
    by_request[b"r1"].write(HIT)
    assert [await client.read_resp() for _ in range(3)] == [b"value", b"later", b"PONG"]


INVALID_COMMANDS = [
    (encode_command("GET", "k"), "unknown command"),
    (encode_command("CLIENT", "LIST"), "unknown command"),
    (encode_command("A\r\n+PONG"), "unknown command"),  # if echoed unescaped, a second reply
    (encode_command("C.GET", "k", "r1"), "wrong number"),
    (encode_command("C.SET", "k", "r1", "c=book,d=900"), "wrong number"),
    (encode_command("C.GET", "", "r1", "c=read,d=900"), "key"),
    (encode_command("C.GET", "stats", "r1", "c=read,d=900"), "key"),
    (encode_command("C.GET", "..", "r1", "c=read,d=900"), "key"),
    (encode_command("C.GET", "k" * 2000, "r1", "c=read,d=900"), "key"),
    (encode_command("C.GET", "k", "r 1", "c=read,d=900"), "id"),
    (encode_command("C.GET", "k", "", "c=read,d=900"), "id"),
    (encode_command("C.GET", "k", "r1", "c=read"), "d must"),
    (encode_command("C.GET", "k", "r1", "c=read,d=soon"), "d must"),
    (encode_command("C.GET", "k", "r1", "c=read,d=-5"), "d must"),
    (encode_command("C.GET", "k", "r1", "c=read,d=600001"), "d must"),
    (encode_command("C.GET", "k", "r1", "c=read,d=" + "9" * 600), "d must"),
    (encode_command("C.GET", "k", "r1", "c=read,d=9,d=900"), "not a new name"),
    (encode_command("C.GET", "k", "r1", "c=read,d"), "not a new name"),
    (encode_command("C.GET", "k", "r1", "c=unheard-of,d=900"), "class is unknown"),
    (encode_command("C.GET", "k", "r1", "t=x,d=900"), "class is unknown"),
    (encode_command("C.SET", "k", "r1", "c=book,d=900", "v"), "k is missing"),
    (encode_command("C.GET", "k", "r1", "c=read,d=900\r\nX: y"), "visible ASCII"),
    (b"*1\r\n:7\r\n", "array of bulk strings"),
    (b"*0\r\n", "array of bulk strings"),
    (b"*-1\r\n", "array of bulk strings"),
    (b"*1\r\n$-1\r\n", "array of bulk strings"),
    (b"+PING\r\n", "array of bulk strings"),
]


@pytest.mark.parametrize(("sent", "expected"), INVALID_COMMANDS)
async def test_invalid_command_gets_an_error_and_keeps_its_connection(
    router: Router, sent: bytes, expected: str
) -> None:
    """An invalid command is still complete, so that the start of the next command is known."""
    client = await router.client()
    client.write(sent + encode_command("PING"))
    assert expected in error_text(await client.read_resp())
    assert await client.read_resp() == b"PONG"
    assert not router.dispatcher.requests


@pytest.mark.parametrize(
    "sent",
    [
        b"PING\r\n",
        b"\x00\xff",
        b"*x\r\n",
        b"*100000000\r\n",  # rejected at the header, before a list of that length is allocated
        b"*4\r\n$-5\r\n",
        b"*4\r\n$62914560\r\n",  # rejected before the value arrives
        b"*5\r\n" + b"$60000\r\n%b\r\n" % (b"x" * 60000) + b"$60000\r\n",  # longer than any valid command
        b"*1\r\n$4\r\nPINGPONG\r\n",
        b"*1\r\n$" + b"0" * 40,  # a line that is too long, like the next
        b"+" + b"x" * 2000,
        b"*1\r\n" * 9,
        b"*16\r\n" + (b"*16\r\n" + (b"+" + b"x" * 1000 + b"\r\n") * 16) * 5,  # too long, though no line is
    ],
)
async def test_framing_error_closes_the_connection(router: Router, sent: bytes) -> None:
    """The bytes that follow might be a part of a value, and would be executed as a command."""
    client, other = await router.client(), await router.client()
    client.write(sent)
    assert error_text(await client.read_resp()).startswith("ERR")
    assert await client.closed_by_peer()
    await other.ping()


async def test_nothing_is_read_after_a_framing_error(router: Router) -> None:
    """Otherwise input would be buffered without limit while an earlier reply is pending."""
    client, cache = await router.start_read()
    client.write(b"noise\r\n" + b"x" * 100_000)
    (connection,) = router.client_connections()
    await wait_until(lambda: connection.pending_replies == 2)  # the read and the error
    assert not connection.is_reading()
    assert not connection.input_size
    cache.write(HIT)
    assert await client.read_resp() == b"value"
    assert error_text(await client.read_resp()).startswith("ERR")
    assert await client.closed_by_peer()


async def test_connection_is_throttled_after_errors(router: Router) -> None:
    """A client that repeats a rejected command at once would take up all processor time."""
    loop = asyncio.get_running_loop()
    client = await router.client()
    started_at = loop.time()
    client.write(encode_read("r1", info="c=unheard-of,d=900") * 3)
    for _ in range(3):
        error_text(await client.read_resp())
    assert loop.time() - started_at >= 2 * client_connection.ERROR_THROTTLE_TIME - 0.01


async def test_commands_beyond_the_pipeline_limit_are_processed_later(router: Router) -> None:
    """The commands stay in the buffer until earlier replies are written."""
    client = await router.client()
    request_ids = [f"r{n}" for n in range(3 * MAX_PIPELINED_COMMANDS)]
    client.write(b"".join(encode_read(n, info="c=read,t=x,d=1") for n in request_ids) + encode_read("last"))
    cache = await router.cache()
    assert (await cache.read_resp())[2] == b"last"
    cache.write(HIT)
    for _ in request_ids:
        error_text(await client.read_resp())
    assert await client.read_resp() == b"value"


async def client_with_full_pipeline(router: Router) -> tuple[PeerConnection, ClientConnection]:
    """Return a client that has sent twice the pipeline limit of commands, and the router's side of it."""
    client = await router.client()
    client.write(b"".join(encode_read(f"r{n}") for n in range(2 * MAX_PIPELINED_COMMANDS)))
    await wait_until(router.client_connections)
    (connection,) = router.client_connections()
    await wait_until(lambda: connection.pending_replies >= MAX_PIPELINED_COMMANDS)
    return client, connection


async def test_number_of_pipelined_commands_is_bounded(router: Router) -> None:
    """Otherwise one client could make the router hold any number of requests."""
    _client, connection = await client_with_full_pipeline(router)
    assert connection.pending_replies == MAX_PIPELINED_COMMANDS
    assert not connection.is_reading()


async def test_no_request_is_accepted_from_a_closing_connection(
    router: Router, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client has disconnected: its request would be processed until the deadline for nobody."""
    written = record_written_requests(monkeypatch)
    _client, connection = await client_with_full_pipeline(router)
    await wait_until(lambda: "r0" in written)  # it stays in flight when its client is gone
    connection.abort()
    router.dispatcher.requests.respond("r0", b"-ERR failed\r\n")
    await wait_until(lambda: not connection.pending_replies)
    await asyncio.sleep(0)
    # The decision module was not notified of the reply above, so that `r0` has not been removed.
    assert set(router.dispatcher.requests) == {"r0"}


@router_with(with_endpoints=False)
async def test_ping_fails_until_a_cache_server_is_known(router: Router) -> None:
    """Health checks must not direct clients to a router that can't serve them."""
    client = await router.client()
    client.write(encode_command("PING"))
    assert "no cache server" in error_text(await client.read_resp())
    router.list_caches("a")
    await client.ping()


async def test_exception_closes_only_the_connection_that_caused_it(
    router: Router, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Otherwise one request that the code can't handle would end the router and all requests in flight."""
    other = await router.client()
    first, cache = await router.start_read()
    with monkeypatch.context() as patch:
        patch.setattr(router.dispatcher, "accept", None)
        first.write(encode_read("r2"))
        assert await first.closed_by_peer()
    assert await cache.closed_by_peer()
    assert not router.dispatcher.router.pending
    client_address = Address(*first.writer.get_extra_info("sockname"))
    assert f"closing connection of client {client_address} after an unexpected error" in caplog.text
    await other.ping()


def test_pipelined_reply_has_a_request_until_it_is_rejected() -> None:
    """A disconnect is reported only for requests that the dispatcher has accepted."""
    reply = PipelinedReply()
    reply.start_request("r1")
    assert reply.request_id == "r1"
    reply.reject_request()
    reply.complete(b"-ERR failed\r\n")
    assert reply.request_id is None
    assert reply.data == b"-ERR failed\r\n"
