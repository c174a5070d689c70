"""The dispatcher between clients, cache servers and an origin, over loopback."""

from __future__ import annotations

import asyncio

import pytest

from cache_router.decisions.actions import Action, Fail, LogMessage, Send
from cache_router.decisions.events import AttemptCompleted, AttemptStatus, Event, Request
from cache_router.net import dispatcher
from cache_router.net.command import COST_HINT_FIELD, Command
from tests.support.loopback import (
    HIT,
    MISS,
    encode_http_response,
    encode_keyed_write,
    encode_read,
    error_text,
)
from tests.support.loopback_router import Router, router_with


@pytest.mark.parametrize(
    ("hint", "cost"),
    [
        ("90", 90e-6),
        ("0", 0.0),
        ("9" * dispatcher.MAX_COST_HINT_DIGITS, 999_999.999999),
        ("9" * (dispatcher.MAX_COST_HINT_DIGITS + 1), None),
        ("-1", None),
        ("1.5", None),
        ("", None),
    ],
)
def test_cost_hint_is_a_number_of_microseconds(hint: str, cost: float | None) -> None:
    """A malformed hint is ignored; its request is not rejected."""
    command = Command(b"C.GET", b"k", b"r1", {COST_HINT_FIELD: hint}, 900)
    assert dispatcher.read_cost_hint(command) == cost


async def test_hit_is_returned_to_the_client(router: Router) -> None:
    """A read is forwarded with its key, id and info fields, except for the deadline."""
    client = await router.client()
    client.write(encode_read("r1", "key", "c=read,t=x,d=2000,h=90,size=7"))
    cache = await router.cache()
    verb, key, request, info = await cache.read_resp()
    assert (verb, key, request) == (b"C.GET", b"key", b"r1")
    fields = dict(pair.split("=") for pair in info.decode().split(","))
    assert list(fields) == ["c", "t", "d", "h", "size"]
    assert fields["size"] == "7"
    assert 0 < int(fields["d"]) < 2000  # the time that is left
    cache.write(HIT)
    assert await client.read_resp() == b"value"


async def test_miss_is_fetched_from_the_origin(router: Router) -> None:
    """The request to the origin has the same request id."""
    client, cache = await router.start_read()
    cache.write(MISS)
    origin = await router.origin.accept_connection()
    first, headers, _ = await origin.read_http()
    assert first == "GET /k HTTP/1.1"
    assert headers["request-id"] == "r1"
    origin.write(encode_http_response("200 OK", b"fetched"))
    assert await client.read_resp() == b"fetched"


async def test_write_is_forwarded_to_the_origin_unchanged(router: Router) -> None:
    """The value may hold any bytes, and the idempotency key goes with it."""
    client = await router.client()
    client.write(encode_keyed_write("r1", value=b"two\r\nlines"))
    origin = await router.origin.accept_connection()
    first, headers, body = await origin.read_http()
    assert first == "PUT /k HTTP/1.1"
    assert body == b"two\r\nlines"
    assert "k=5c0f" in headers["request-info"].split(",")
    origin.write(encode_http_response("200 OK", b"receipt"))
    assert await client.read_resp() == b"receipt"


async def test_read_is_retried_after_a_connection_reset(router: Router) -> None:
    """A read is idempotent and may run twice."""
    client, first = await router.start_read()
    first.reset()
    second = await router.cache()
    assert (await second.read_resp())[2] == b"r1"
    second.write(HIT)
    assert await client.read_resp() == b"value"


async def test_attempts_of_a_disconnected_client_are_cancelled(router: Router) -> None:
    """Otherwise cache servers would continue to work for a client that no longer waits."""
    client, cache = await router.start_read()
    client.close()
    assert await cache.closed_by_peer()
    assert not router.dispatcher.router.pending
    assert not router.dispatcher.router.attempts


async def test_request_without_a_response_is_rejected_at_its_deadline(router: Router) -> None:
    """A client that has no reply by its deadline counts the request as lost."""
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    client, cache = await router.start_read(info="c=read,t=x,d=150")
    assert error_text(await client.read_resp()).startswith("BUSY")
    assert loop.time() - sent_at >= 0.15 - dispatcher.DEADLINE_MARGIN - 0.001
    assert await cache.closed_by_peer()
    assert not router.dispatcher.requests


@router_with(with_endpoints=False)
async def test_events_posted_while_actions_run_are_handled_afterwards(
    router: Router, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A re-entrant call would see a state that the outer call has not finished changing."""
    events: list[Event] = []
    is_answered: list[bool] = []  # whether the request is answered, at each event

    def handle(now: float, event: Event) -> list[Action]:
        events.append(event)
        request = router.dispatcher.requests.get("r1")
        is_answered.append(request is None or request.is_closed)
        if isinstance(event, Request):
            return [Send("r1", "unknown"), LogMessage("after"), Fail("r1")]
        return []

    monkeypatch.setattr(router.dispatcher.router, "handle", handle)
    client = await router.client()
    client.write(encode_read("r1"))
    assert error_text(await client.read_resp()) == "ERR failed"
    request, completed = events
    assert isinstance(request, Request)
    assert isinstance(completed, AttemptCompleted)
    assert completed.status is AttemptStatus.CONNECT_FAILED
    assert not completed.request_closed  # the attempt failed at its start, before `Fail`
    # The event of the failed attempt was handled only after the last action.
    assert is_answered == [False, True]
