"""Graceful shutdown over loopback: requests and clients that are still served."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import replace
from pathlib import Path

import hiredis
import pytest

from cache_router.net import client_connection_table
from cache_router.net.input_scheduler import MAX_PIPELINED_COMMANDS
from tests.support.coroutine_tests import DEFAULT_TIME_LIMIT
from tests.support.endpoint_lists import encode_endpoint_list
from tests.support.event_order import wait_until
from tests.support.loopback import HIT, MISS, Clients, Peer, PeerConnection, encode_http_response, encode_read
from tests.support.loopback_router import KEYED_WRITE, READ, SETTINGS, Router, router_with
from tests.support.router_process import config_with_cache, listen_address, router_process


@pytest.mark.parametrize("waiting_for", ["server", "origin", "capacity"])
async def test_every_request_is_answered_before_the_kill_deadline(waiting_for: str) -> None:
    """The fault: with a fixed shutdown time, requests at hanging servers had no answer when SIGKILL came."""
    read_class = replace(READ, latency_objective=600.0, client_timeout=0.01)
    async with Router(replace(SETTINGS, classes={"read": read_class, "book": KEYED_WRITE})) as router:
        client = await router.client()
        info = "c=read,t=x,d=600000"
        if waiting_for == "capacity":
            origin = router.dispatcher.router.endpoints.origins[0].concurrency
            origin.limit = origin.in_flight  # the origin has no free capacity, and none is freed
        client.write(encode_read("r1", info=info))
        cache = await router.cache()
        await cache.read_resp()
        if waiting_for != "server":
            cache.write(MISS)
        if waiting_for == "origin":
            await (await router.origin.accept_connection()).read_http()
        if waiting_for == "capacity":
            await wait_until(lambda: any(r.is_queued for r in router.dispatcher.router.pending.values()))
        router.dispatcher.start_shutdown(0.05)
        assert isinstance(await client.read_resp(), hiredis.ReplyError)
        client.write(encode_read("r2", info=info))  # a request during shutdown is rejected at once
        assert str(await client.read_resp()).startswith("BUSY")
        await wait_until(lambda: not router.dispatcher.requests)


async def test_shutdown_time_follows_from_the_longest_client_timeout(
    clients: Clients, tmp_path: Path
) -> None:
    """Otherwise the process could exit, or be killed, while a request waits for a server that hangs."""
    async with Peer() as cache, Peer() as agent:
        config = config_with_cache(cache, agent, "automatic")
        classes = [{**row, "giveUp": 0.2, "aim": 0.2} for row in config["settings"]["classes"]]
        config["settings"]["classes"] = classes
        async with router_process(config, tmp_path / "config.json") as process:
            watch = await agent.accept_connection()
            await watch.read_http()
            watch.write(encode_http_response("200 OK", encode_endpoint_list(2, False)))
            client = await clients.connect_and_ping(await listen_address(process.stderr))
            client.write(encode_read("r1", info="c=read,t=t,d=600000"))
            await (await cache.accept_connection()).read_resp()
            process.send_signal(signal.SIGTERM)
            assert isinstance(await client.read_resp(), hiredis.ReplyError)
            assert await process.wait() == 0


@router_with(max_clients=1)
async def test_client_in_the_backlog_at_shutdown_is_served(router: Router) -> None:
    """The kernel has accepted the connection and its request; closing the listening socket would reset it."""
    first, cache = await router.start_read()
    second = await router.client()
    await wait_until(lambda: len(router.client_connections()) == 2)  # one above the limit, none to evict
    second.write(encode_read("r2"))
    third = await router.client()
    third.write(encode_read("r3"))
    served = await router.cache()
    assert (await served.read_resp())[2] == b"r2"
    shutdown = asyncio.create_task(router.listener.stop(0.0, DEFAULT_TIME_LIMIT))
    await wait_until(lambda: router.listener.is_draining)
    cache.write(HIT)
    served.write(HIT)
    assert await first.read_resp() == await second.read_resp() == b"value"
    assert await first.closed_by_peer()
    assert await second.closed_by_peer()
    last = await next_request(router, cache, served)
    last.write(HIT)
    assert await third.read_resp() == b"value"
    assert await third.closed_by_peer()
    await shutdown


async def next_request(router: Router, *links: PeerConnection) -> PeerConnection:
    """Return the connection, old or new, on which the next request arrives."""
    reads = {asyncio.ensure_future(link.read_resp()): link for link in links}
    accept = asyncio.ensure_future(router.cache())
    done, pending = await asyncio.wait([*reads, accept], return_when=asyncio.FIRST_COMPLETED)
    for task in pending:
        task.cancel()
    if accept not in done:
        return reads[done.pop()]
    await accept.result().read_resp()
    return accept.result()


async def test_client_just_accepted_at_shutdown_may_send_its_request(
    router: Router, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A connection closed without a reply counts as refused, and many of them count as lost requests."""
    client = await router.client()
    await wait_until(router.client_connections)
    monkeypatch.setattr(client_connection_table, "FIRST_COMMAND_GRACE", DEFAULT_TIME_LIMIT)
    shutdown = asyncio.create_task(router.listener.stop(0.0, DEFAULT_TIME_LIMIT))
    await wait_until(lambda: router.listener.is_closed)
    client.write(encode_read("r1"))
    cache = await router.cache()
    await cache.read_resp()
    cache.write(HIT)
    assert await client.read_resp() == b"value"
    assert await client.closed_by_peer()
    await shutdown


async def test_last_reply_while_draining_closes_its_connection(router: Router) -> None:
    """On a connection that stays open, the client would send its next request to a process that exits."""
    client, _ = await router.start_read()
    (connection,) = router.client_connections()
    shutdown = asyncio.create_task(router.listener.stop(0.0, DEFAULT_TIME_LIMIT))
    await wait_until(lambda: router.listener.is_draining)
    router.dispatcher.requests.respond("r1", b"-ERR failed\r\n")
    assert not connection.is_connected()  # closed by the router: the client has not disconnected
    assert isinstance(await client.read_resp(), hiredis.ReplyError)
    assert await client.closed_by_peer()
    await shutdown


@pytest.mark.parametrize("first_burst", [MAX_PIPELINED_COMMANDS, 3 * MAX_PIPELINED_COMMANDS])
async def test_commands_beyond_the_pipeline_limit_are_answered_while_draining(
    router: Router, first_burst: int
) -> None:
    """The fault: no answer to commands that were buffered or unread when all replies ahead left together."""
    client = await router.client()
    request_ids = [f"r{n}" for n in range(3 * MAX_PIPELINED_COMMANDS)]
    client.write(b"".join(encode_read(n) for n in request_ids[:first_burst]))
    await wait_until(router.client_connections)
    (connection,) = router.client_connections()
    await wait_until(lambda: not connection.is_reading())
    client.write(b"".join(encode_read(n) for n in request_ids[first_burst:]))
    router.dispatcher.start_shutdown(0.2)
    shutdown = asyncio.create_task(router.listener.stop(0.0, DEFAULT_TIME_LIMIT))
    await wait_until(lambda: router.listener.is_draining)
    for request_id in request_ids[1:MAX_PIPELINED_COMMANDS]:
        router.dispatcher.requests.respond(request_id, b"-ERR failed\r\n")
    # The reply to the first command, in a later iteration of the event loop, lets all of them leave together.
    await asyncio.sleep(0.01)
    assert connection.pending_replies == MAX_PIPELINED_COMMANDS
    router.dispatcher.requests.respond(request_ids[0], b"-ERR failed\r\n")
    for _ in request_ids:
        assert isinstance(await client.read_resp(), hiredis.ReplyError)
    assert await client.closed_by_peer()
    await shutdown
