"""The client's deadline counts from the arrival of its request, not from when the request is processed."""

from __future__ import annotations

import asyncio
import time
from functools import partial

import pytest

from cache_router.net.client_connection import ERROR_THROTTLE_TIME
from cache_router.net.dispatcher import DEADLINE_MARGIN
from tests.support.event_order import record_written_requests, wait_until
from tests.support.loopback import encode_command, encode_read, error_text
from tests.support.loopback_router import Router, router_with

EARLIER = 0.7  # seconds before it is read at which input is known to have been ready
DEADLINE = 2.0  # seconds, of a request
ROUNDING = 0.001  # seconds; deadlines are sent in milliseconds


class LateTurns:
    """Turns of an event loop in which all input has been ready for a while."""

    lag = 0.0

    @property
    def started_at(self) -> float:
        return time.monotonic()

    def ready_since(self, _descriptor: int) -> float:
        return time.monotonic() - EARLIER


def deadline_of(command: list[bytes]) -> float:
    """Return the deadline in a command that a cache server has received, in seconds."""
    fields = dict(pair.split(b"=") for pair in command[3].split(b","))
    return int(fields[b"d"]) / 1000


@router_with(turns=LateTurns())
async def test_time_in_the_sockets_queue_counts_towards_the_deadline(router: Router) -> None:
    """Guards against answers after the client's time when the event loop lags (issue 37)."""
    client = await router.client()
    client.write(encode_read("r1", info=f"c=read,t=x,d={int(DEADLINE * 1000)}"))
    command = await (await router.cache()).read_resp()
    assert deadline_of(command) <= DEADLINE - EARLIER


async def test_time_behind_a_pause_of_reading_counts_towards_the_deadline(router: Router) -> None:
    """The connection is not read for a while after an error, and the request waits in the buffer."""
    client = await router.client()
    client.write(encode_command("GET", "k") + encode_read("r1", info=f"c=read,t=x,d={int(DEADLINE * 1000)}"))
    command = await (await router.cache()).read_resp()
    assert deadline_of(command) <= DEADLINE - ERROR_THROTTLE_TIME


async def test_time_in_an_unread_socket_counts_towards_the_deadline(router: Router) -> None:
    """The request arrives while reading is paused after an error."""
    client = await router.client()
    client.write(encode_command("GET", "k"))
    error_text(await client.read_resp())
    await wait_until(router.client_connections()[0].is_throttled_only)
    client.write(encode_read("r1", info=f"c=read,t=x,d={int(DEADLINE * 1000)}"))
    command = await (await router.cache()).read_resp()
    assert deadline_of(command) <= DEADLINE - ERROR_THROTTLE_TIME


@router_with(turns=LateTurns())
async def test_time_behind_earlier_replies_does_not_count_towards_the_deadline(router: Router) -> None:
    """Answers come in order: what a request waits for those ahead of it is not its own time."""
    client = await router.client()
    started_at = time.monotonic()
    await client.ping()
    client.write(encode_read("r1", info=f"c=read,t=x,d={int(DEADLINE * 1000)}"))
    command = await (await router.cache()).read_resp()
    elapsed = time.monotonic() - started_at
    assert deadline_of(command) >= DEADLINE - DEADLINE_MARGIN - elapsed - ROUNDING


class LaggingTurns(LateTurns):
    """Turns of an event loop that handles what arrives now only after a while."""

    lag = 0.5

    def ready_since(self, _descriptor: int) -> float:
        return time.monotonic()


@pytest.mark.parametrize(
    ("router", "deadline_ms"),
    [(partial(Router, turns=LateTurns()), 600), (partial(Router, turns=LaggingTurns()), 400)],
    ids=["waited", "lag"],
    indirect=["router"],
)
async def test_request_that_cannot_be_answered_in_time_is_rejected_at_once(
    router: Router, deadline_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an event loop whose time goes into requests that fail anyway (issue 37)."""
    written = record_written_requests(monkeypatch)
    client = await router.client()
    client.write(encode_read("r1", info=f"c=read,t=x,d={deadline_ms}"))
    assert error_text(await client.read_resp()).startswith("BUSY")
    assert not written
    assert not router.dispatcher.router.pending
    assert router.dispatcher.statistics.rejected_requests == 1
    client.write(encode_read("r2"))
    cache = await router.cache()
    assert (await cache.read_resp())[2] == b"r2"


@pytest.mark.parametrize("before", ["connect", "error"])
async def test_request_after_a_rest_has_its_whole_time(router: Router, before: str) -> None:
    """Guards against a request that is dated back to when its connection was opened or last paused."""
    client = await router.client()
    if before == "error":
        client.write(encode_command("GET", "k"))
        error_text(await client.read_resp())
    await wait_until(router.client_connections)
    (connection,) = router.client_connections()
    await wait_until(lambda: connection.is_reading() and not connection.is_throttled_only())
    await asyncio.sleep(EARLIER)
    started_at = time.monotonic()
    client.write(encode_read("r1", info=f"c=read,t=x,d={int(DEADLINE * 1000)}"))
    command = await (await router.cache()).read_resp()
    elapsed = time.monotonic() - started_at
    assert deadline_of(command) >= DEADLINE - DEADLINE_MARGIN - elapsed - ROUNDING
