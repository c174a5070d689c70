"""Watching the endpoint list of discovery, over loopback."""

from __future__ import annotations

import asyncio

import pytest

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.endpoint import EndpointState
from cache_router.net.endpoint_table import NetworkEndpoint
from cache_router.settings import WatchBudget
from tests.support.endpoint_lists import ENDPOINT_ENTRY, WatchRecorder, accept_poll, encode_endpoint_list
from tests.support.loopback import Peer, encode_http_response


async def test_watch_continues_from_the_received_index(peer: Peer) -> None:
    """Each poll requests the changes after the last update."""
    recorder = WatchRecorder(peer)
    request_line, link = await accept_poll(peer)
    assert request_line == "GET /registry/instances?after=41&wait_ms=1000 HTTP/1.1"
    link.write(
        encode_http_response(
            "200 OK", encode_endpoint_list(43, False, {**ENDPOINT_ENTRY, "status": "terminating"})
        )
    )
    kind, (endpoint,) = await recorder.next_update()
    assert kind is EndpointUpdateKind.DELTA
    assert endpoint.entry.state is EndpointState.DRAINING
    request_line, link = await accept_poll(peer)
    assert "after=43&" in request_line
    link.write(encode_http_response("200 OK", encode_endpoint_list(50, True, ENDPOINT_ENTRY)))
    assert (await recorder.next_update())[0] is EndpointUpdateKind.SNAPSHOT
    assert "after=50&" in (await accept_poll(peer))[0]
    recorder.discovery.close()


async def test_subscribing_during_a_watch_makes_no_second_poll(peer: Peer) -> None:
    """Only one poll is in flight at a time, even if the decisions subscribe again."""
    recorder = WatchRecorder(peer)
    recorder.discovery.subscribe()
    _, link = await accept_poll(peer)
    link.write(encode_http_response("200 OK", encode_endpoint_list(42, False)))
    await recorder.updates.get()
    assert "after=42&" in (await accept_poll(peer))[0]  # not a second poll after 41
    recorder.discovery.close()


@pytest.mark.parametrize(
    "response",
    [
        encode_http_response("503 Busy"),
        encode_http_response("200 OK", b"not json"),
        encode_http_response("200 OK", b"[]"),
        encode_http_response("200 OK", b'{"index":42,"snapshot":false}'),
        encode_http_response("200 OK", encode_endpoint_list(42, False, {**ENDPOINT_ENTRY, "address": ""})),
        b"hello\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{",
        b"",
    ],
)
async def test_failed_poll_is_reported_and_the_next_continues_from_the_last_index(
    peer: Peer, response: bytes
) -> None:
    """A malformed response must neither be applied, which might remove ready servers, nor end the retries."""
    recorder = WatchRecorder(peer)
    _, link = await accept_poll(peer)
    link.write(response)
    link.close()
    assert await recorder.updates.get() is None
    recorder.discovery.subscribe()
    assert "after=41&" in (await accept_poll(peer))[0]
    recorder.discovery.close()


async def test_refused_connection_is_reported_as_a_failed_poll() -> None:
    """The decisions schedule the next poll when they are notified of the failure."""
    async with Peer() as peer:
        pass
    assert await WatchRecorder(peer).updates.get() is None


async def test_poll_of_a_silent_discovery_times_out(peer: Peer) -> None:
    """Discovery considers the router notified; a router that waited longer would send to draining servers."""
    recorder = WatchRecorder(
        peer,
        WatchBudget(response_timeout=0.05, max_backoff=0.0, scheduling_slack=0.0, notification_deadline=0.15),
    )
    _, link = await accept_poll(peer)
    assert await recorder.updates.get() is None
    assert await link.closed_by_peer()


async def test_exception_in_an_update_is_reported_as_a_failed_poll(peer: Peer) -> None:
    """If a failed watch were not reported, the router would keep its old list until a restart."""

    def faulty(kind: EndpointUpdateKind, endpoints: list[NetworkEndpoint]) -> None:
        raise RuntimeError("faulty")

    recorder = WatchRecorder(peer, on_update=faulty)
    _, link = await accept_poll(peer)
    link.write(encode_http_response("200 OK", encode_endpoint_list(42, False, ENDPOINT_ENTRY)))
    assert await recorder.updates.get() is None
    assert not recorder.discovery.is_watching


async def test_watch_of_a_new_address_requests_the_complete_list_and_the_old_one_reports_nothing() -> None:
    """Each discovery has its own indexes: polled with the index of another, it may report no changes."""
    async with Peer() as old, Peer() as new:
        recorder = WatchRecorder(old)
        _, link = await accept_poll(old)
        recorder.discovery.change_address(new.address)
        assert await link.closed_by_peer()
        recorder.discovery.subscribe()
        request_line, link = await accept_poll(new)
        assert request_line == "GET /registry/instances HTTP/1.1"
        link.write(encode_http_response("200 OK", encode_endpoint_list(3, True, ENDPOINT_ENTRY)))
        assert (await recorder.next_update())[0] is EndpointUpdateKind.SNAPSHOT
        assert "after=3&" in (await accept_poll(new))[0]
        assert recorder.updates.empty()
        recorder.discovery.close()


async def test_first_update_ends_the_wait_for_it(peer: Peer) -> None:
    """At startup the router waits for the list of the agent; a failed poll does not end the wait."""
    recorder = WatchRecorder(peer)
    waiting = asyncio.create_task(recorder.discovery.wait_for_first_update())
    _, link = await accept_poll(peer)
    link.write(encode_http_response("503 Busy"))
    assert await recorder.updates.get() is None
    assert not waiting.done()
    recorder.discovery.subscribe()
    _, link = await accept_poll(peer)
    link.write(encode_http_response("200 OK", encode_endpoint_list(42, False, ENDPOINT_ENTRY)))
    await waiting
    assert not recorder.updates.empty()
    recorder.discovery.close()
