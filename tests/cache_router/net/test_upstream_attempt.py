"""State changes of an attempt: it completes once, and releases its connection if it is abandoned."""

from __future__ import annotations

import asyncio
from functools import partial

import pytest

from cache_router.decisions.events import AttemptStatus
from cache_router.net.upstream_attempt import UpstreamAttempt, UpstreamResponse
from tests.support.upstream_attempts import GET

RESPONSE = UpstreamResponse(AttemptStatus.OK, b"value")
SECOND_RESPONSE = UpstreamResponse(AttemptStatus.ERROR)


class Connection:
    """A connection that counts how often it is aborted."""

    def __init__(self) -> None:
        """Create a connection that has not been aborted."""
        self.aborts = 0

    def abort(self) -> None:
        self.aborts += 1


async def test_attempt_reports_its_first_response_only() -> None:
    """If an attempt had two outcomes, its request would be counted and answered twice."""
    responses: list[UpstreamResponse] = []
    attempt = UpstreamAttempt(GET, 0.5, responses.append)
    assert attempt.is_open
    attempt.finish(RESPONSE)
    attempt.finish(SECOND_RESPONSE)
    assert responses == [RESPONSE]
    assert not attempt.is_open


async def test_abandoned_attempt_aborts_its_connection_and_reports_nothing() -> None:
    """The caller already knows the outcome; closing the connection lets the server stop its work."""
    responses: list[UpstreamResponse] = []
    connection = Connection()
    attempt = UpstreamAttempt(GET, 0.5, responses.append)
    attempt.mark_sent(connection)
    attempt.abandon()
    attempt.abandon()
    attempt.finish(RESPONSE)
    assert connection.aborts == 1
    assert responses == []


async def test_finished_attempt_leaves_its_connection_open_when_it_is_abandoned() -> None:
    """The connection may already carry the attempt of another request."""
    connection = Connection()
    attempt = UpstreamAttempt(GET, 0.5, lambda response: None)
    attempt.mark_sent(connection)
    attempt.finish(RESPONSE)
    attempt.abandon()
    assert connection.aborts == 0


@pytest.mark.parametrize("is_connected", [False, True])
async def test_abandoned_attempt_stops_the_task_that_connects_only_until_it_is_connected(
    is_connected: bool,
) -> None:
    """After connecting, the same task sends the request, and must not be cancelled any more."""
    connecting = asyncio.create_task(asyncio.sleep(60.0))
    attempt = UpstreamAttempt(GET, 0.5, lambda response: None)
    attempt.mark_connecting(connecting)
    if is_connected:
        attempt.mark_connected()
    attempt.abandon()
    assert bool(connecting.cancelling()) is not is_connected
    connecting.cancel()


async def test_timeout_runs_unless_the_attempt_has_ended() -> None:
    """A timer that is not cancelled would call back for a completed attempt and hold it in memory."""
    timed_out: list[str] = []
    names = ("open", "finished", "abandoned")
    attempts = {name: UpstreamAttempt(GET, 0.5, lambda response: None) for name in names}
    for name, attempt in attempts.items():
        attempt.start_timeout(0.01, partial(timed_out.append, name))
    attempts["finished"].finish(RESPONSE)
    attempts["abandoned"].abandon()
    await asyncio.sleep(0.02)
    assert timed_out == ["open"]
    assert attempts["open"].time_left() < 0.49


async def test_time_left_is_never_negative() -> None:
    """A negative time would give the server a deadline in the past."""
    attempt = UpstreamAttempt(GET, 0.0, lambda response: None)
    await asyncio.sleep(0.001)
    assert attempt.time_left() == 0.0
