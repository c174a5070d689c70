"""Failed watches of the endpoint list, over loopback."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cache_router.settings import WatchBudget
from tests.support.endpoint_lists import accept_poll, encode_endpoint_list, peer_entry
from tests.support.loopback import Peer, PeerConnection, encode_http_response
from tests.support.loopback_router import SETTINGS, Router, read_values

AGENT_SETTINGS = replace(
    SETTINGS, must_subscribe=False, drain_grace_period=0.5, overload_window=60.0, slow_start_duration=60.0
)


async def next_poll(agent: Peer) -> PeerConnection:
    """Accept the next poll of the endpoint list."""
    _, link = await accept_poll(agent)
    return link


@pytest.mark.parametrize("failure", ["silent", "reset", "malformed"])
async def test_failed_watch_is_reopened_before_the_drain_deadline(failure: str) -> None:
    """Exponential backoff would take 30 s and more, too late for the deadline of a drain."""
    short_budget = WatchBudget(
        response_timeout=0.02, max_backoff=0.0, scheduling_slack=0.0, notification_deadline=0.06
    )

    async with Peer() as agent, Router(AGENT_SETTINGS) as router:
        router.watch(agent, budget=short_budget)
        for _ in range(3):  # consecutive failed polls
            link = await next_poll(agent)
            if failure == "reset":
                link.reset()
            elif failure == "malformed":
                link.write(encode_http_response("200 OK", b"{"))
        link = await next_poll(agent)
        draining = peer_entry("a", router.caches["a"], status="terminating")
        link.write(encode_http_response("200 OK", encode_endpoint_list(2, False, draining)))
        await next_poll(agent)  # sent once the update is applied
        assert router.discovery is not None
        router.discovery.close()
        router.watch(agent, budget=AGENT_SETTINGS.watch_budget)
        await next_poll(agent)  # a long poll that stays in flight
        client = await router.client()
        await read_values(client, router.caches["b"], 8)
        assert router.caches["a"].links.empty()


async def test_first_poll_of_a_new_address_times_out_without_its_wait() -> None:
    """Updates from a new address are due within 4 s of SIGHUP, so a lost first poll must not take 5 s."""
    async with Peer() as old, Peer() as new, Router(AGENT_SETTINGS) as router:
        router.watch(old, pushed=True, budget=WatchBudget(response_timeout=0.02, notification_deadline=600.0))
        await next_poll(old)  # the first poll, at startup
        await next_poll(old)
        assert router.discovery is not None
        router.discovery.change_address(new.address)
        router.dispatcher.on_discovery_address_changed()
        router.discovery.subscribe()
        await next_poll(new)  # lost: gets no response
        link = await next_poll(new)
        link.write(
            encode_http_response("200 OK", encode_endpoint_list(2, True, peer_entry("b", router.caches["b"])))
        )
        await next_poll(new)
        assert list(router.dispatcher.endpoints) == ["b"]
