"""Requests to the origin and its responses, well formed and not."""

from __future__ import annotations

import pytest

from cache_router.decisions.events import AttemptStatus
from cache_router.net.command import Command
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.origin_connection import OriginConnection
from tests.loopback import Link, Peer, http, run
from tests.upstream_attempts import GET, Ends, told


async def asked(peer: Peer, ends: Ends, command: Command = GET) -> tuple[Link, str, dict[str, str], bytes]:
    ends.start(peer.address, command)
    link = await peer.link()
    return link, *await link.http()


@pytest.mark.parametrize(
    ("answer", "status", "value"),
    [
        (http("200 OK", b"value"), AttemptStatus.OK, b"value"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nva\r\n0\r\n\r\n",
            AttemptStatus.OK,
            b"va",
        ),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + http("200 OK", b"v"), AttemptStatus.OK, b"v"),
        (
            b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 100 C\r\n\r\n" + http("200 OK", b"v"),
            AttemptStatus.OK,
            b"v",
        ),
        (http("200 OK", b"v", "Server-Load: \x00\x01\x7f", "server-load: a\nb"), AttemptStatus.OK, b"v"),
        (http("500 Error"), AttemptStatus.ERROR, b""),
        (http("503 Busy", b"", "Not-Started: 1"), AttemptStatus.REJECTED, b""),
        (http("504 Late", b"", "Not-Started: 1"), AttemptStatus.REJECTED, b""),
        (http("503 Busy"), AttemptStatus.ERROR, b""),
        (http("500 Error", b"", "Not-Started: 1"), AttemptStatus.ERROR, b""),
        (http("404 None"), AttemptStatus.ERROR, b""),
    ],
)
def test_answers_of_the_origin(answer: bytes, status: AttemptStatus, value: bytes) -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            ends = Ends(ConnectionPool(OriginConnection, 8, 1.0, 60.0, 0.0))
            link, first, headers, _ = await asked(peer, ends)
            assert first == "GET /k HTTP/1.1"
            assert (headers["request-id"], told(headers["request-info"])) == ("r1", "c=read")
            link.write(answer)
            assert await ends.end() == (status, value)
            ends.start(peer.address)  # and the connection is kept
            await link.http()
            ends.pool.close()

    run(scenario)


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (b"hello\r\n\r\n", AttemptStatus.ERROR),
        (http("200 OK", b"x" * 70000), AttemptStatus.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nval", AttemptStatus.RESET),
        (b"HTTP/1.1 200 OK\r\n\r\nvalue", AttemptStatus.RESET),  # who could tell whether it is whole
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nv", AttemptStatus.ERROR),
        (b"ICY 200 OK", AttemptStatus.ERROR),  # and waits for no more of it
        (b"HTTP/1.1 200 OK\r\nX: " + b"x" * 20000, AttemptStatus.ERROR),
        (b"", AttemptStatus.RESET),
    ],
)
def test_malformed_and_broken_answers_of_the_origin(answer: bytes, status: AttemptStatus) -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            ends = Ends(ConnectionPool(OriginConnection, 8, 1.0, 60.0, 0.0))
            link, *_ = await asked(peer, ends)
            link.write(answer)
            link.close()
            assert (await ends.end())[0] is status
            assert await link.ended() and not ends.pool.idle

    run(scenario)


@pytest.mark.parametrize("key", [b"a/../b", b"a?x=1", b"a b", b"a\r\nX: y", b"%2e", "ó".encode(), b"\xff#"])
def test_a_key_stays_one_segment_of_the_path(key: bytes) -> None:
    """A key that spells another path would fetch, or overwrite, what nobody asked for."""

    async def scenario() -> None:
        async with Peer() as peer:
            ends = Ends(ConnectionPool(OriginConnection, 8, 1.0, 60.0, 0.0))
            put = Command(b"C.SET", key, b"r1", {"d": "900"}, 900, b"slot")
            _, first, _, body = await asked(peer, ends, put)
            method, path, _ = first.split(" ")
            assert method == "PUT" and body == b"slot"
            assert not set(path[1:]) & set("/?# ") and path == "/" + "".join(
                chr(c) if chr(c).isalnum() and c < 128 or c in b"-._~" else f"%{c:02X}" for c in key
            )
            ends.pool.close()

    run(scenario)


def test_a_request_that_cannot_be_spelled_ends_its_attempt_at_once() -> None:
    """Left without an outcome it would hold its request until the deadline."""

    async def scenario() -> None:
        async with Peer() as peer:
            ends = Ends(ConnectionPool(OriginConnection, 8, 1.0, 60.0, 0.0))
            ends.start(peer.address, Command(b"C.GET", b"k", b"r1", {"x": "a\r\nb", "d": "9"}, 9))
            assert await ends.end() == (AttemptStatus.CONNECT_FAILED, b"")
            assert await (await peer.link()).ended() and not ends.pool.connections

    run(scenario)
