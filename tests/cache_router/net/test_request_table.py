"""Requests in flight: their ids and deadlines, and when they are removed."""

from __future__ import annotations

import asyncio

import pytest

from cache_router.net import request_table
from cache_router.net.clock import Clock
from cache_router.net.request_table import RequestInFlight, RequestTable
from cache_router.net.upstream_attempt import UpstreamAttempt
from cache_router.net.used_ids import MIN_REUSE_DELAY
from tests.support.event_order import record_written_requests, wait_until
from tests.support.loopback import HIT, encode_http_response, encode_keyed_write, encode_read, error_text
from tests.support.loopback_router import Router
from tests.support.upstream_attempts import GET


async def test_request_id_in_use_is_rejected(router: Router) -> None:
    """Two requests under one id would get each other's replies."""
    other = await router.client()
    client, cache = await router.start_read()
    other.write(encode_read("r1"))
    assert "in use" in error_text(await other.read_resp())
    cache.write(HIT)
    assert await client.read_resp() == b"value"
    other.write(encode_read("r1"))  # still in use right after the reply
    assert "in use" in error_text(await other.read_resp())


async def test_answered_request_is_removed_at_once(router: Router) -> None:
    """Otherwise its id and value would stay in memory until its deadline, for up to ten minutes."""
    client, cache = await router.start_read(info="c=read,t=x,d=600000,h=" + "9" * 400)
    cache.write(HIT)
    assert await client.read_resp() == b"value"
    assert not router.dispatcher.requests


class AdjustableClock(Clock):
    """A clock that a test advances."""

    def __init__(self) -> None:
        """Start at the time 0 s."""
        super().__init__()
        self.time = 0.0

    def now(self) -> float:
        return self.time


class RequestTableHarness:
    """A request table with its clock, the answers that it gave and the requests whose deadline passed."""

    def __init__(self) -> None:
        """Create an empty table at the time 0 s."""
        self.clock = AdjustableClock()
        self.expired: list[str] = []
        self.answers: list[bytes] = []
        self.table = RequestTable(self._on_deadline, self.clock)

    def _on_deadline(self, request: RequestInFlight) -> None:
        assert request.deadline_passed
        self.expired.append(request.request_id)

    def add(self, request_id: str, time_left: float = 60.0) -> RequestInFlight:
        """Add a request, and return it."""
        self.table.add(request_id, GET, time_left, respond=self.answers.append, is_connected=lambda: True)
        request = self.table.get(request_id)
        assert request is not None
        return request

    def start_attempt(self, request: RequestInFlight) -> int:
        """Add an attempt to a request, and return its number."""
        number = request.attempts_started
        request.add_attempt(UpstreamAttempt(GET, 60.0, lambda response: None, number=number))
        return number


async def test_request_is_answered_once() -> None:
    """A client would take a second answer for the reply to its next command."""
    requests = RequestTableHarness()
    requests.add("r1")
    requests.table.respond("r1", b"first")
    requests.table.respond("r1", b"second")
    requests.table.respond("unknown", b"third")
    assert requests.answers == [b"first"]
    assert not requests.table.close("r1")


async def test_closed_request_is_not_answered() -> None:
    """A request is closed when its client has disconnected."""
    requests = RequestTableHarness()
    requests.add("r1")
    assert requests.table.close("r1")
    assert not requests.table.close("r1")
    requests.table.respond("r1", b"late")
    assert requests.answers == []


async def test_request_is_released_once_it_is_closed_and_has_no_attempt() -> None:
    """The outcome of an attempt that is still in flight refers to its request."""
    requests = RequestTableHarness()
    request = requests.add("r1")
    requests.add("r2")
    numbers = [requests.start_attempt(request) for _ in range(2)]
    assert numbers == [0, 1]
    assert requests.table.remove_attempt(request, 0) is not None
    assert requests.table.remove_attempt(request, 0) is None
    requests.table.respond("r1", b"answer")
    requests.table.release_finished()
    assert list(requests.table) == ["r1", "r2"]
    requests.table.remove_attempt(request, 1)
    requests.table.release_finished()
    assert list(requests.table) == ["r2"]
    assert "r1" not in requests.table
    assert len(requests.table) == 1


async def test_released_request_has_no_deadline() -> None:
    """The timer would fire for an id that another request may use by then."""
    requests = RequestTableHarness()
    requests.add("r1", 0.0)
    requests.table.close("r1")
    requests.table.release_finished()
    requests.add("r2", 0.0)
    await wait_until(lambda: requests.expired)
    assert requests.expired == ["r2"]


async def test_id_is_free_again_after_the_reuse_delay() -> None:
    """Ids that are kept forever would use up the memory."""
    requests = RequestTableHarness()

    def finish(request_id: str) -> None:
        requests.add(request_id)
        requests.table.close(request_id)
        requests.table.release_finished()

    finish("r1")
    requests.clock.time = MIN_REUSE_DELAY
    finish("r2")
    assert requests.table.is_id_used("r1")
    # Ids are kept in two generations, which rotate when a request is released.
    for number in (3, 4):
        requests.clock.time += MIN_REUSE_DELAY + 0.1
        finish(f"r{number}")
    assert not requests.table.is_id_used("r1")
    assert not requests.table.is_id_used("r2")
    assert requests.table.is_id_used("r3")


@pytest.mark.parametrize("added", ["before", "after"])
async def test_deadlines_are_limited_in_a_shutdown(added: str) -> None:
    """The process ends soon after: a request with a later deadline would get no answer at all."""
    requests = RequestTableHarness()
    if added == "before":
        requests.add("r1", 600.0)
    requests.table.limit_deadlines(0.01)
    if added == "after":
        requests.add("r1", 600.0)
    request = requests.table.get("r1")
    assert request is not None
    assert request.deadline == pytest.approx(0.01)
    async with asyncio.timeout(1.0):
        await wait_until(lambda: requests.expired)


async def test_earlier_deadline_is_kept_in_a_shutdown() -> None:
    """A shutdown must not extend the deadline of a request."""
    requests = RequestTableHarness()
    request = requests.add("r1", 0.5)
    requests.table.limit_deadlines(2.0)
    assert request.deadline == 0.5


async def test_values_of_requests_in_flight_are_bounded(
    router: Router, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that is killed for the memory of clients' values (issue 37, picture b)."""
    monkeypatch.setattr(request_table, "MAX_VALUE_BYTES", 100)
    written = record_written_requests(monkeypatch)
    client = await router.client()
    client.write(encode_keyed_write("w1", value=b"x" * 60))
    await wait_until(lambda: written == ["w1"])
    other = await router.client()
    other.write(encode_keyed_write("w2", value=b"x" * 60))
    assert error_text(await other.read_resp()).startswith("BUSY")
    assert written == ["w1"]
    origin = await router.origin.accept_connection()
    await origin.read_http()
    origin.write(encode_http_response("200 OK", b"receipt"))
    assert await client.read_resp() == b"receipt"
    other.write(encode_keyed_write("w3", value=b"x" * 60))
    await wait_until(lambda: written == ["w1", "w3"])
