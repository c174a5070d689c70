"""Valid and malformed responses of cache servers."""

from __future__ import annotations

import pytest

from cache_router.decisions.events import AttemptStatus
from tests.support.loopback import HIT, MISS, Peer
from tests.support.upstream_attempts import OTHER_GET, AttemptRecorders, info_without_deadline

OVERSIZED_VALUE = b"$70000\r\n" + b"x" * 70000


@pytest.mark.parametrize(
    ("response", "status", "value"),
    [
        (HIT, AttemptStatus.OK, b"value"),
        (b"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n", AttemptStatus.OK, b""),
        # The value is used even if the load report is malformed.
        (b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$4\r\n\xff=\r\n\r\n", AttemptStatus.OK, b"v"),
        (b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n*2\r\n:1\r\n-x\r\n", AttemptStatus.OK, b"v"),
        (MISS, AttemptStatus.MISS, b""),
        (b"-BUSY\r\n", AttemptStatus.REJECTED, b""),
        (b"-ERR failed\r\n", AttemptStatus.ERROR, b""),
        (b"-ERR failed inflight=7,queue=2\r\n", AttemptStatus.ERROR, b""),
    ],
)
async def test_responses_of_a_cache_server(
    peer: Peer, attempt_recorders: AttemptRecorders, response: bytes, status: AttemptStatus, value: bytes
) -> None:
    """Only an error that starts with BUSY is a rejection; after any other error the request may have run."""
    attempts = attempt_recorders.on_caches()
    attempts.start(peer.address)
    link = await peer.accept_connection()
    *parts, info = await link.read_resp()
    assert parts == [b"C.GET", b"k", b"r1"]
    assert info_without_deadline(info.decode()) == "c=read"
    link.write(response)
    assert await attempts.outcome() == (status, value)
    attempts.start(peer.address, OTHER_GET)  # reuses the connection
    await link.read_resp()


@pytest.mark.parametrize(
    "response",
    [
        b"hello\r\n",
        b"*0\r\n",
        b":3\r\n",
        b"*1\r\n:3\r\n",
        b"*3\r\n:3\r\n$3\r\nhit\r\n$-1\r\n",
        b"*2\r\n$5\r\nvalue\r\n$3\r\nhit\r\n",
        OVERSIZED_VALUE,
        b"*9999999999\r\n",
        b"*3\r\n$3000000000\r\n",
        b"*3\r\n$3\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n",
    ],
)
async def test_malformed_response_is_an_error_and_closes_its_connection(
    peer: Peer, attempt_recorders: AttemptRecorders, response: bytes
) -> None:
    """Later bytes on such a connection could be mistaken for the response to a later request."""
    attempts = attempt_recorders.on_caches()
    link = await attempts.start_on(peer)
    link.write(response)
    assert await attempts.outcome() == (AttemptStatus.ERROR, b"")
    assert await link.closed_by_peer()
    assert attempts.pool.established_count == 0
