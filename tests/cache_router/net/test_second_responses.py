"""Second copies of responses, which may arrive in the place of the response to the next request."""

from __future__ import annotations

import fcntl
import struct
import termios
from dataclasses import replace

import pytest

from cache_router.decisions.events import AttemptStatus
from cache_router.net import upstream_connection
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.command import Command
from cache_router.net.completed_exchange import CompletedExchange
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.origin_connection import OriginConnection
from cache_router.net.upstream_attempt import UpstreamResponse
from cache_router.net.upstream_connection import UpstreamConnection
from cache_router.settings import Idempotency, RequestClass
from tests.support.loopback import MISS, Peer, PeerConnection, encode_hit, encode_http_response, encode_read
from tests.support.loopback_router import READ, SETTINGS, Router, router_with
from tests.support.upstream_attempts import GET, OTHER_GET, AttemptRecorder, AttemptRecorders

PUT = Command(b"C.SET", b"written", b"r3", {"c": "book", "d": "900"}, 900, b"slot")
OTHER_PUT = Command(b"C.SET", b"other", b"r4", {"c": "book", "d": "900"}, 900, b"slot")
ONCE = RequestClass("once", 1.0, Idempotency.NOT_IDEMPOTENT)
SETTINGS_WITH_ONCE = replace(SETTINGS, classes={"read": READ, "once": ONCE})
OK = UpstreamResponse(AttemptStatus.OK, b"value")
MISS_WITH_REPORT = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$7\r\nqueue=7\r\n"
BUSY_ORIGIN = encode_http_response("503 Service Unavailable", b"", "Not-Started: 1")
EXCHANGES_UNTIL_ACKNOWLEDGEMENTS_ARE_DELAYED = 4


def encode_value(kind: type[UpstreamConnection], value: bytes) -> bytes:
    """Encode a response with a value in the protocol of a kind of connection."""
    return encode_hit(value) if kind is CacheConnection else encode_http_response("200 OK", value)


async def read_request(link: PeerConnection, kind: type[UpstreamConnection]) -> None:
    """Read the next request in the protocol of a kind of connection."""
    await (link.read_resp() if kind is CacheConnection else link.read_http())


def unacknowledged_bytes(link: PeerConnection) -> int:
    """Return the number of sent bytes that the other side has not acknowledged."""
    result = fcntl.ioctl(link.writer.get_extra_info("socket"), termios.TIOCOUTQ, b"\0" * 4)
    return int(struct.unpack("i", result)[0])


@pytest.mark.parametrize("kind", [CacheConnection, OriginConnection])
async def test_copy_of_the_last_response_fails_the_next_attempt_on_its_connection(
    peer: Peer, attempt_recorders: AttemptRecorders, kind: type[UpstreamConnection]
) -> None:
    """The fault: the next attempt was completed with the copy, the value of another request."""
    attempts = attempt_recorders.on_pool(ConnectionPool(kind, 8, 1.0, 60.0, 0.0))
    attempts.start(peer.address)
    link = await peer.accept_connection()
    await read_request(link, kind)
    link.write(encode_value(kind, b"first"))
    assert await attempts.outcome() == (AttemptStatus.OK, b"first")
    attempts.start(peer.address, OTHER_GET)
    await read_request(link, kind)
    link.write(encode_value(kind, b"first"))
    assert await attempts.outcome() == (AttemptStatus.ERROR, b"")
    assert await link.closed_by_peer()
    assert attempts.pool.established_count == 0


PAGE, OTHER_PAGE = b"page for the first request ", b"page for another request   "


@pytest.mark.parametrize("page", [PAGE, 40 * PAGE], ids=["short", "long"])
@pytest.mark.parametrize("kind", [CacheConnection, OriginConnection])
async def test_cut_copy_that_the_next_response_completes_is_not_served(
    peer: Peer, attempt_recorders: AttemptRecorders, kind: type[UpstreamConnection], page: bytes
) -> None:
    """Review case 7: the client got a part of another page, and then a part of its own response."""
    response = encode_value(kind, page)
    value_start = response.index(page)
    value_end = value_start + len(page)
    next_response = encode_value(kind, page.replace(PAGE, OTHER_PAGE))
    # Of a long page, cuts that leave much or little of the value.
    cuts = (
        range(1, len(response))
        if page == PAGE
        else [value_start, value_start + 30, *range(value_end - 30, value_end)]
    )
    for cut in cuts:
        attempts = attempt_recorders.on_pool(ConnectionPool(kind, 8, 1.0, 60.0, 0.0))
        attempts.start(peer.address)
        link = await peer.accept_connection()
        await read_request(link, kind)
        link.write(response)
        assert await attempts.outcome() == (AttemptStatus.OK, page)
        attempts.start(peer.address, OTHER_GET)
        await read_request(link, kind)
        link.write(response[:cut] + next_response)
        assert (await attempts.outcome())[1] in (b"", page.replace(PAGE, OTHER_PAGE)), cut
        link.close()
        attempts.pool.close()


async def test_cut_copy_does_not_change_the_status_of_the_next_response(
    peer: Peer, attempt_recorders: AttemptRecorders
) -> None:
    """The rest of its status line took the next one for its reason, and the body of an error for a value."""
    attempts = attempt_recorders.on_origin()
    attempts.start(peer.address)
    link = await peer.accept_connection()
    await link.read_http()
    link.write(encode_http_response("200 OK", b"first"))
    assert await attempts.outcome() == (AttemptStatus.OK, b"first")
    attempts.start(peer.address, OTHER_GET)
    await link.read_http()
    link.write(b"HTTP/1.1 200 OK" + encode_http_response("500 Internal Server Error", b"failed"))
    assert await attempts.outcome() == (AttemptStatus.ERROR, b"")


@pytest.mark.parametrize(
    ("kind", "value"),
    [(CacheConnection, b"about *3\r\n$5\r\n and RESP"), (OriginConnection, b"about HTTP/1.1 200 OK")],
)
async def test_value_that_contains_the_start_of_a_response_is_served(
    peer: Peer, attempt_recorders: AttemptRecorders, kind: type[UpstreamConnection], value: bytes
) -> None:
    """Values may hold any bytes, and those of two requests may have the same size."""
    attempts = attempt_recorders.on_pool(ConnectionPool(kind, 8, 1.0, 60.0, 0.0))
    attempts.start(peer.address)
    link = await peer.accept_connection()
    for command, response in ((OTHER_GET, b"page".ljust(len(value))), (GET, value)):
        await read_request(link, kind)
        link.write(encode_value(kind, response))
        assert await attempts.outcome() == (AttemptStatus.OK, response)
        attempts.start(peer.address, command)


@pytest.mark.parametrize(
    ("kind", "response", "status"),
    [
        (CacheConnection, MISS_WITH_REPORT, AttemptStatus.MISS),
        (CacheConnection, b"-BUSY queue=7\r\n", AttemptStatus.REJECTED),
        (CacheConnection, b"-ERR failed queue=7\r\n", AttemptStatus.ERROR),
        (OriginConnection, BUSY_ORIGIN, AttemptStatus.REJECTED),
    ],
)
async def test_response_behind_a_copied_miss_is_not_served_to_a_third_request(
    peer: Peer,
    attempt_recorders: AttemptRecorders,
    *,
    monkeypatch: pytest.MonkeyPatch,
    kind: type[UpstreamConnection],
    response: bytes,
    status: AttemptStatus,
) -> None:
    """Review case 6: the second request got the copy, and the third one the value of the second."""
    monkeypatch.setattr(upstream_connection, "MAX_COPY_DELAY", 60.0)
    attempts = attempt_recorders.on_pool(ConnectionPool(kind, 8, 1.0, 60.0, 0.0))
    attempts.start(peer.address)
    link = await peer.accept_connection()
    await read_request(link, kind)
    link.write(response)
    assert await attempts.outcome() == (status, b"")
    attempts.start(peer.address, OTHER_GET)
    await read_request(link, kind)
    link.write(response)  # the copy of the first response; that to the second request comes later
    assert await attempts.outcome() == (status, b"")
    assert await link.closed_by_peer()
    assert attempts.pool.established_count == 0


@pytest.mark.parametrize(("queue", "max_copy_delay"), [(8, 60.0), (7, 0.0)])
async def test_connection_is_kept_after_misses_that_are_no_copies(
    peer: Peer,
    attempt_recorders: AttemptRecorders,
    monkeypatch: pytest.MonkeyPatch,
    queue: int,
    max_copy_delay: float,
) -> None:
    """A copy has the report of its response, and comes soon; a cold cache answers many misses in a row."""
    monkeypatch.setattr(upstream_connection, "MAX_COPY_DELAY", max_copy_delay)
    attempts = attempt_recorders.on_caches()
    link = await attempts.start_on(peer)
    link.write(MISS_WITH_REPORT)
    assert await attempts.outcome() == (AttemptStatus.MISS, b"")
    attempts.start(peer.address, OTHER_GET)
    await link.read_resp()
    link.write(MISS_WITH_REPORT.replace(b"queue=7", b"queue=%d" % queue))
    assert await attempts.outcome() == (AttemptStatus.MISS, b"")
    assert attempts.pool.idle_count == 1


@pytest.mark.parametrize(("first", "second"), [(GET, GET), (PUT, OTHER_PUT)])
async def test_request_whose_response_may_equal_the_last_one_gets_another_connection(
    peer: Peer, attempt_recorders: AttemptRecorders, first: Command, second: Command
) -> None:
    """A copy could not be told from the response; later, another request may use the connection."""
    attempts = attempt_recorders.on_origin()
    attempts.start(peer.address, first)
    link = await peer.accept_connection()
    await link.read_http()
    link.write(encode_http_response("200 OK", b"first"))
    assert await attempts.outcome() == (AttemptStatus.OK, b"first")
    attempts.start(peer.address, second)
    await (await peer.accept_connection()).read_http()
    assert attempts.pool.idle_count == 1
    attempts.start(peer.address, OTHER_GET)
    assert (await link.read_http())[0] == "GET /other HTTP/1.1"


async def test_response_is_acknowledged_before_its_connection_is_idle(
    peer: Peer, attempt_recorders: AttemptRecorders
) -> None:
    """The fault: a server without TCP_NODELAY kept a copy back until the next request acknowledged."""
    attempts = attempt_recorders.on_caches()
    link = await attempts.start_on(peer)
    for number in range(EXCHANGES_UNTIL_ACKNOWLEDGEMENTS_ARE_DELAYED):
        link.write(encode_hit(b"%d" % number))
        assert await attempts.outcome() == (AttemptStatus.OK, b"%d" % number)
        assert unacknowledged_bytes(link) == 0
        start_read(attempts, peer, number)
        await link.read_resp()


def start_read(attempts: AttemptRecorder, peer: Peer, number: int) -> None:
    """Start a read of a key that no other attempt reads."""
    attempts.start(peer.address, Command(b"C.GET", b"k%d" % number, b"r1", {"c": "read", "d": "900"}, 900))


@router_with(reuse_delay=0.0, settings=SETTINGS_WITH_ONCE)
async def test_copied_miss_does_not_repeat_a_request_that_is_not_idempotent(router: Router) -> None:
    """The fault: a late copy of a miss seemed to prove that the next request on its connection never ran."""
    router.list_caches("a")
    client, cache = await router.start_read()
    cache.write(MISS)
    origin = await router.origin.accept_connection()
    await origin.read_http()
    origin.write(encode_http_response("200 OK", b"first"))
    assert await client.read_resp() == b"first"
    client.write(encode_read("r2", "another key", info="c=once,t=x,d=2000"))
    assert (await (await router.cache()).read_resp())[2] == b"r2"  # on a new connection


@pytest.mark.parametrize(
    ("status", "command", "is_idempotent", "may_precede"),
    [
        (AttemptStatus.OK, OTHER_GET, False, True),
        (AttemptStatus.OK, GET, True, False),
        (AttemptStatus.OK, PUT, False, True),
        (AttemptStatus.MISS, GET, True, True),
        (AttemptStatus.MISS, OTHER_GET, False, False),  # a copy would seem to prove that it was not executed
        (AttemptStatus.REJECTED, OTHER_GET, True, True),
        (AttemptStatus.REJECTED, PUT, False, False),
    ],
)
def test_connection_is_reused_only_if_a_copy_would_be_recognized(
    status: AttemptStatus, command: Command, is_idempotent: bool, may_precede: bool
) -> None:
    exchange = CompletedExchange.of(GET, UpstreamResponse(status))
    assert exchange.may_precede(command, is_idempotent) is may_precede


def test_only_a_value_that_comes_again_is_a_copy() -> None:
    """Two misses, or two rejections, have the same bytes and are common."""
    exchange = CompletedExchange.of(GET, OK)
    assert exchange.is_repeated_by(OK)
    assert not exchange.is_repeated_by(UpstreamResponse(AttemptStatus.OK, b"another"))
    miss = UpstreamResponse(AttemptStatus.MISS)
    assert not CompletedExchange.of(GET, miss).is_repeated_by(miss)
