"""Requests to the origin, and its valid and malformed responses."""

from __future__ import annotations

import string

import pytest

from cache_router.decisions.events import AttemptStatus
from cache_router.net.command import Command
from tests.support.loopback import Peer, PeerConnection, encode_http_response
from tests.support.upstream_attempts import (
    GET,
    OTHER_GET,
    AttemptRecorder,
    AttemptRecorders,
    info_without_deadline,
)

# Unreserved characters of RFC 3986, which need no escaping in a path.
UNRESERVED = (string.ascii_letters + string.digits + "-._~").encode()


async def start_on_origin(
    peer: Peer, attempts: AttemptRecorder, command: Command = GET
) -> tuple[PeerConnection, str, dict[str, str], bytes]:
    """Start an attempt on the origin, and read its request."""
    attempts.start(peer.address, command)
    link = await peer.accept_connection()
    return link, *await link.read_http()


@pytest.mark.parametrize(
    ("response", "status", "value"),
    [
        (encode_http_response("200 OK", b"value"), AttemptStatus.OK, b"value"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nva\r\n0\r\n\r\n",
            AttemptStatus.OK,
            b"va",
        ),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + encode_http_response("200 OK", b"v"), AttemptStatus.OK, b"v"),
        (
            b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 100 C\r\n\r\n"
            + encode_http_response("200 OK", b"v"),
            AttemptStatus.OK,
            b"v",
        ),
        (
            encode_http_response("200 OK", b"v", "Server-Load: \x00\x01\x7f", "server-load: a\nb"),
            AttemptStatus.OK,
            b"v",
        ),
        (encode_http_response("500 Error"), AttemptStatus.ERROR, b""),
        (encode_http_response("503 Busy", b"", "Not-Started: 1"), AttemptStatus.REJECTED, b""),
        (encode_http_response("504 Late", b"", "Not-Started: 1"), AttemptStatus.REJECTED, b""),
        (encode_http_response("503 Busy"), AttemptStatus.ERROR, b""),
        (encode_http_response("500 Error", b"", "Not-Started: 1"), AttemptStatus.ERROR, b""),
        (encode_http_response("404 None"), AttemptStatus.ERROR, b""),
    ],
)
async def test_responses_of_the_origin(
    peer: Peer, attempt_recorders: AttemptRecorders, response: bytes, status: AttemptStatus, value: bytes
) -> None:
    """Only `Not-Started: 1` with 503 or 504 is a rejection; after other errors the request may have run."""
    attempts = attempt_recorders.on_origin()
    link, request_line, headers, _ = await start_on_origin(peer, attempts)
    assert request_line == "GET /k HTTP/1.1"
    assert (headers["request-id"], info_without_deadline(headers["request-info"])) == ("r1", "c=read")
    link.write(response)
    assert await attempts.outcome() == (status, value)
    attempts.start(peer.address, OTHER_GET)  # reuses the connection
    await link.read_http()


@pytest.mark.parametrize(
    ("response", "status"),
    [
        (b"hello\r\n\r\n", AttemptStatus.ERROR),
        (encode_http_response("200 OK", b"x" * 70000), AttemptStatus.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nval", AttemptStatus.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nv", AttemptStatus.ERROR),
        (b"ICY 200 OK", AttemptStatus.ERROR),  # fails without waiting for further bytes
        (b"HTTP/1.1 200 OK\r\nX: " + b"x" * 20000, AttemptStatus.ERROR),
        (b"", AttemptStatus.RESET),
    ],
)
async def test_malformed_and_broken_responses_of_the_origin(
    peer: Peer, attempt_recorders: AttemptRecorders, response: bytes, status: AttemptStatus
) -> None:
    """A truncated response is a reset; a malformed or oversized one is an error immediately."""
    attempts = attempt_recorders.on_origin()
    link, *_ = await start_on_origin(peer, attempts)
    link.write(response)
    link.close()
    assert (await attempts.outcome())[0] is status
    assert await link.closed_by_peer()
    assert attempts.pool.idle_count == 0


WITHOUT_LENGTH = [
    b"HTTP/1.1 200 OK\r\n\r\nvalue",
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nvalue",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nvalue",
]


@pytest.mark.parametrize("response", WITHOUT_LENGTH)
async def test_response_without_a_length_ends_with_its_connection(
    peer: Peer, attempt_recorders: AttemptRecorders, response: bytes
) -> None:
    """Guards against complete responses of the origin that are never forwarded (review, case 3)."""
    attempts = attempt_recorders.on_origin()
    link, *_ = await start_on_origin(peer, attempts)
    link.write(response)
    link.close()
    assert await attempts.outcome() == (AttemptStatus.OK, b"value")
    assert attempts.pool.established_count == 0


@pytest.mark.parametrize("response", [*WITHOUT_LENGTH, b"HTTP/1.1 200 OK\r\n", b""])
async def test_response_without_a_length_that_is_reset_is_not_complete(
    peer: Peer, attempt_recorders: AttemptRecorders, response: bytes
) -> None:
    """A reset may have cut off a part of the body."""
    attempts = attempt_recorders.on_origin()
    link, *_ = await start_on_origin(peer, attempts)
    link.write(response)
    await link.writer.drain()
    link.reset()
    assert (await attempts.outcome())[0] is AttemptStatus.RESET
    assert attempts.pool.idle_count == 0


@pytest.mark.parametrize("key", [b"a/../b", b"a?x=1", b"a b", b"a\r\nX: y", b"%2e", "ó".encode(), b"\xff#"])
async def test_key_is_encoded_as_one_path_segment(
    peer: Peer, attempt_recorders: AttemptRecorders, key: bytes
) -> None:
    """An unescaped key could name another path, and read or overwrite another resource."""
    attempts = attempt_recorders.on_origin()
    put = Command(b"C.SET", key, b"r1", {"d": "900"}, 900, b"slot")
    _, request_line, _, body = await start_on_origin(peer, attempts, put)
    method, path, _ = request_line.split(" ")
    assert method == "PUT"
    assert body == b"slot"
    assert not set(path[1:]) & set("/?# ")
    assert path == "/" + "".join(chr(c) if c in UNRESERVED else f"%{c:02X}" for c in key)


async def test_request_that_cannot_be_encoded_ends_its_attempt_at_once(
    peer: Peer, attempt_recorders: AttemptRecorders
) -> None:
    """An attempt without an outcome would keep its request in flight until the deadline."""
    attempts = attempt_recorders.on_origin()
    attempts.start(peer.address, Command(b"C.GET", b"k", b"r1", {"x": "a\r\nb", "d": "9"}, 9))
    assert await attempts.outcome() == (AttemptStatus.CONNECT_FAILED, b"")
    assert await (await peer.accept_connection()).closed_by_peer()
    assert attempts.pool.established_count == 0
