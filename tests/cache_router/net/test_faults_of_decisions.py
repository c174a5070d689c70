"""The decision module raises once at each kind of event: clients still get replies, the watch is renewed.

An OverflowError in the report of a failed poll once ended the task of the watch, which nothing renewed and
only asyncio logged. Later events stayed in the queue until another one was posted, and their requests got no
answer.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

import pytest

from cache_router.decisions.actions import Action
from cache_router.decisions.events import (
    AttemptCompleted,
    ClientDisconnected,
    DiscoveryAddressChanged,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Request,
    ShutdownStarted,
    TimerFired,
    TimerKind,
)
from tests.support.endpoint_lists import accept_poll, encode_endpoint_list, peer_entry
from tests.support.event_order import wait_until
from tests.support.loopback import HIT, MISS, Peer, encode_hit, encode_http_response, encode_read, error_text
from tests.support.loopback_router import SETTINGS, Router

SUBSCRIBING = replace(SETTINGS, must_subscribe=True)
FAULT_TIMES = ["before", "after"]  # whether the exception is raised before or after the event is handled


class FaultError(Exception):
    """The exception that the decision module raises in these tests."""


def raise_once(
    router: Router, monkeypatch: pytest.MonkeyPatch, when: str, matches: Callable[[Event], bool]
) -> list[Event]:
    """Raise in the decision module at the next event that `matches` accepts; return a list of that event."""
    handle = router.dispatcher.router.handle
    raised: list[Event] = []

    def faulty(now: float, event: Event) -> list[Action]:
        is_faulty = not raised and matches(event)
        if is_faulty:
            raised.append(event)
        if is_faulty and when == "before":
            router.dispatcher.router.decided_actions().clear()
            raise FaultError
        actions = handle(now, event)
        if is_faulty:
            raise FaultError
        return actions

    monkeypatch.setattr(router.dispatcher.router, "handle", faulty)
    return raised


def assert_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    """Assert that the exception was logged once, as ERROR with its traceback."""
    tracebacks = [record for record in caplog.records if record.exc_info]
    assert [record.levelno for record in tracebacks] == [logging.ERROR]
    assert tracebacks[0].exc_info is not None
    assert tracebacks[0].exc_info[0] is FaultError


@pytest.mark.parametrize("when", FAULT_TIMES)
async def test_request_is_answered(
    when: str, router: Router, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    raise_once(router, monkeypatch, when, lambda event: isinstance(event, Request))
    client = await router.client()
    client.write(encode_read("r1"))
    if when == "before":
        assert error_text(await client.read_resp()) == "ERR failed"
    else:
        cache = await router.cache()
        await cache.read_resp()
        cache.write(HIT)
        assert await client.read_resp() == b"value"
    assert_logged_once(caplog)
    client.write(encode_read("r2", "another key"))
    cache = await router.cache() if when == "before" else cache
    await cache.read_resp()
    cache.write(encode_hit(b"another"))
    assert await client.read_resp() == b"another"
    await wait_until(lambda: not router.dispatcher.requests)


@pytest.mark.parametrize("when", FAULT_TIMES)
async def test_request_is_answered_after_its_attempt_has_completed(
    when: str, router: Router, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    raise_once(router, monkeypatch, when, lambda event: isinstance(event, AttemptCompleted))
    client, cache = await router.start_read()
    cache.write(MISS)
    if when == "before":
        assert error_text(await client.read_resp()) == "ERR failed"
    else:
        origin = await router.origin.accept_connection()
        await origin.read_http()
        origin.write(encode_http_response("200 OK", b"fetched"))
        assert await client.read_resp() == b"fetched"
    assert_logged_once(caplog)
    await wait_until(lambda: not router.dispatcher.requests)


@pytest.mark.parametrize("when", FAULT_TIMES)
async def test_request_that_waits_for_the_origin_is_answered(
    when: str, router: Router, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def is_queue_deadline(event: Event) -> bool:
        return isinstance(event, TimerFired) and event.timer.kind is TimerKind.QUEUE_DEADLINE

    origin = router.dispatcher.router.endpoints.origins[0].concurrency
    origin.limit = origin.in_flight  # no capacity, and none is freed
    raise_once(router, monkeypatch, when, is_queue_deadline)
    client, cache = await router.start_read(info="c=read,t=x,d=300")
    cache.write(MISS)
    assert error_text(await client.read_resp()).startswith("ERR failed" if when == "before" else "BUSY")
    assert_logged_once(caplog)
    await wait_until(lambda: not router.dispatcher.requests and not router.dispatcher.router.pending)


@pytest.mark.parametrize("when", FAULT_TIMES)
async def test_disconnected_client_leaves_no_request(
    when: str, router: Router, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    raise_once(router, monkeypatch, when, lambda event: isinstance(event, ClientDisconnected))
    client, _ = await router.start_read(info="c=read,t=x,d=300")
    client.reset()
    await wait_until(lambda: not router.dispatcher.requests)
    assert_logged_once(caplog)


@pytest.mark.parametrize("when", FAULT_TIMES)
async def test_requests_are_answered_in_a_shutdown(
    when: str, router: Router, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    raise_once(router, monkeypatch, when, lambda event: isinstance(event, ShutdownStarted))
    client, _ = await router.start_read(info="c=read,t=x,d=600000")
    router.dispatcher.start_shutdown(0.05)
    assert error_text(await client.read_resp())
    assert_logged_once(caplog)


@pytest.mark.parametrize("when", FAULT_TIMES)
@pytest.mark.parametrize("fault", ["failed poll", "poll timer", "address change"])
async def test_watch_is_renewed(
    fault: str, when: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def matches(event: Event) -> bool:
        if fault == "failed poll":
            return isinstance(event, EndpointUpdate) and event.kind is EndpointUpdateKind.FAILED
        if fault == "poll timer":
            return isinstance(event, TimerFired) and event.timer.kind is TimerKind.ENDPOINT_POLL
        return isinstance(event, DiscoveryAddressChanged)

    async with Peer() as agent, Router(SUBSCRIBING) as router:
        raised = raise_once(router, monkeypatch, when, matches)
        router.watch(agent)
        _, link = await accept_poll(agent)
        if fault == "address change":
            assert router.discovery is not None
            router.discovery.change_address(agent.address)
            router.dispatcher.on_discovery_address_changed()
        else:
            link.reset()
        await accept_poll(agent)
        assert raised
        assert_logged_once(caplog)


@pytest.mark.parametrize("when", FAULT_TIMES)
async def test_update_that_failed_is_received_as_a_whole(
    when: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Otherwise the next poll would request later updates only, and this one would never be applied."""
    async with Peer() as agent, Router(SUBSCRIBING) as router:
        raise_once(router, monkeypatch, when, lambda event: isinstance(event, EndpointUpdate))
        router.watch(agent)
        _, link = await accept_poll(agent)
        draining = peer_entry("a", router.caches["a"], status="terminating")
        link.write(encode_http_response("200 OK", encode_endpoint_list(2, False, draining)))
        first, link = await accept_poll(agent)
        assert first == "GET /registry/instances HTTP/1.1"
        link.write(
            encode_http_response("200 OK", encode_endpoint_list(2, True, peer_entry("b", router.caches["b"])))
        )
        first, _ = await accept_poll(agent)
        assert "after=2&" in first
        assert list(router.dispatcher.endpoints) == list(router.dispatcher.router.endpoints.servers) == ["b"]
        assert_logged_once(caplog)
