"""What ends while something is still owed, over loopback: each test forces the bad order every time."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import hiredis
import pytest

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.endpoint import EndpointState
from cache_router.net import client_connection as clients
from cache_router.net import client_connection_table, eviction, upstream_connection
from cache_router.net.origin_connection import OriginConnection
from cache_router.net.socket_state import is_hung_up
from cache_router.net.upstream_connection import AttemptInFlight, UpstreamConnection
from cache_router.settings import WatchBudget
from tests.loopback import (
    BOOK,
    HIT,
    MISS,
    PATIENCE,
    READ,
    SETTINGS,
    Link,
    Peer,
    Router,
    book,
    command,
    http,
    read,
    run,
)
from tests.test_main import config_with_cache, connected_client, listen_address, router_process
from tests.test_net_discovery import LINE, message

PUSHED = replace(
    SETTINGS, must_subscribe=False, drain_grace_period=0.5, overload_window=60.0, slow_start_duration=60.0
)


def line(name: str, peer: Peer, status: str = "in_service") -> dict[str, Any]:
    return {**LINE, "name": name, "address": peer.address, "type": "std", "status": status, "since_ms": 0}


async def asked(agent: Peer) -> Link:
    """The next call for the list."""
    link = await agent.link()
    await link.http()
    return link


@pytest.mark.parametrize("end", ["silent", "reset", "spoilt"])
def test_a_watch_that_dies_is_opened_anew_before_drains_must_be_kept(end: str) -> None:
    """The doubling pause would last 30 s and more here, while the agent has long been told of a drain."""

    brief = WatchBudget(
        response_timeout=0.02, max_backoff=0.0, scheduling_slack=0.0, notification_deadline=0.06
    )

    async def scenario() -> None:
        async with Peer() as agent, Router(PUSHED) as router:
            router.watch(agent, budget=brief)
            for _ in range(3):  # in a row
                link = await asked(agent)
                if end == "reset":
                    link.reset()
                elif end == "spoilt":
                    link.write(http("200 OK", b"{"))
            link = await asked(agent)
            assert router.discovery is not None
            router.discovery.budget = PUSHED.watch_budget
            link.write(http("200 OK", message(2, False, line("a", router.caches["a"], "terminating"))))
            await asked(agent)  # it is held now
            client = await router.client()
            for n in range(8):
                client.write(read(f"r{n}", f"k{n}"))
                await router.caches["b"].serve(HIT)
                assert await client.resp() == b"value"
            assert router.caches["a"].links.empty()

    run(scenario)


def test_a_call_that_asks_for_no_wait_is_given_up_without_one() -> None:
    """What a new discovery has counts as told 4 s after SIGHUP: a lost first call must not take five."""

    async def scenario() -> None:
        async with Peer() as old, Peer() as new, Router(PUSHED) as router:
            router.watch(
                old, pushed=True, budget=WatchBudget(response_timeout=0.02, notification_deadline=600.0)
            )
            await asked(old)  # at the start
            await asked(old)
            assert router.discovery is not None
            router.discovery.change_address(new.address)
            router.host.on_discovery_address_changed()
            router.discovery.subscribe()
            await asked(new)  # and lost
            link = await asked(new)
            link.write(http("200 OK", message(2, True, line("b", router.caches["b"]))))
            await asked(new)
            assert list(router.host.endpoints) == ["b"]

    run(scenario)


# A connection to a server that comes up late


class Dials:
    """Holds up the connections to some addresses until they may come up."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *peers: Peer) -> None:
        self.up = asyncio.Event()
        ports = {int(p.address.rpartition(":")[2]) for p in peers}
        connect = asyncio.base_events.BaseEventLoop.create_connection

        async def late(loop: Any, factory: Any, host: Any = None, port: Any = None, **others: Any) -> Any:
            made = await connect(loop, factory, host, port, **others)
            if port in ports:
                await self.up.wait()
            return made

        monkeypatch.setattr(asyncio.base_events.BaseEventLoop, "create_connection", late)


def requests_written(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """The requests that the router writes to servers, in order, from now on."""
    names: list[str] = []
    begin = UpstreamConnection.begin

    def noted(connection: UpstreamConnection, exchange: AttemptInFlight) -> None:
        names.append(exchange.command.request_id.decode())
        begin(connection, exchange)

    monkeypatch.setattr(UpstreamConnection, "begin", noted)
    return names


async def until(holds: Callable[[], object]) -> None:
    """Go on once something holds that only the router's own work brings about."""
    while not holds():
        await asyncio.sleep(0)


async def first_dial(router: Router) -> tuple[str, Link]:
    """The cache server that is connected to first."""
    await until(lambda: any(not p.links.empty() for p in router.caches.values()))
    (name,) = (n for n, p in router.caches.items() if not p.links.empty())
    return name, await router.caches[name].link()


@pytest.mark.parametrize("news", ["draining", "gone", "restarted"])
def test_a_connection_that_comes_up_after_the_notice_is_not_written_to(
    news: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Longer in coming than drains allow, it sent to a server that had long been announced as leaving."""

    async def scenario() -> None:
        async with Router() as router:
            dials = Dials(monkeypatch, *router.caches.values())
            client = await router.client()
            client.write(read("r1"))
            name, link = await first_dial(router)
            member = router.host.endpoints[name]
            told = {
                "draining": replace(member.entry, state=EndpointState.DRAINING),
                "gone": replace(member.entry, state=EndpointState.REMOVED),
                "restarted": replace(member.entry, started_at=9.0),
            }
            router.host.on_endpoint_update(EndpointUpdateKind.DELTA, [replace(member, entry=told[news])])
            dials.up.set()
            assert await link.ended()  # and never a byte
            if news == "restarted":
                served = await router.cache()  # it may well be the one that is new there
            else:
                served = await next(p for n, p in router.caches.items() if n != name).link()
            assert (await served.resp())[2] == b"r1"
            served.write(HIT)
            assert await client.resp() == b"value"

    run(scenario)


def test_an_attempt_tells_the_time_that_is_left_when_it_is_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """Told from before the dial, a server went on for long after the client had gone."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with Router() as router:
            dials = Dials(monkeypatch, *router.caches.values())
            client = await router.client()
            sent_at = loop.time()
            client.write(read("r1"))
            _, link = await first_dial(router)
            await asyncio.sleep(0.3)
            dialled = loop.time() - sent_at
            dials.up.set()
            info = (await link.resp())[3].decode()
            told = int(dict(pair.split("=") for pair in info.split(","))["d"]) / 1000
            assert 0 < told <= 2.0 - dialled + 0.001
            link.write(HIT)
            assert await client.resp() == b"value"

    run(scenario)


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_connection_that_comes_up_after_its_client_has_left_is_not_written_to(
    may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with Router(replace(SETTINGS, cancellation_allowed=may_cancel)) as router:
            written = requests_written(monkeypatch)
            dials = Dials(monkeypatch, *router.caches.values())
            client = await router.client()
            client.write(read("r1"))
            await first_dial(router)
            client.close()
            await until(lambda: not router.listener.connections)
            dials.up.set()
            await until(lambda: not router.servers.connecting)
            assert not written and not router.host.router.pending

    run(scenario)


# A client that leaves while its connection is not read


async def left(router: Router, client: Link) -> None:
    """The client has closed its side, and the router's machine knows."""
    (connection,) = router.listener.connections
    assert not connection.transport.is_reading()
    client.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
    await until(lambda: is_hung_up(connection.transport))


@pytest.mark.parametrize("why", ["error", "framing", "slow"])
@pytest.mark.parametrize("end", [MISS, None])  # the origin would be next, or a retry
def test_nothing_is_sent_on_for_a_client_that_left_while_it_was_not_read(
    why: str, end: bytes | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end of a connection comes behind what is not read, and was not heard of either."""

    async def scenario() -> None:
        monkeypatch.setattr(clients, "ERROR_THROTTLE_TIME", 60.0)
        async with Router() as router:
            written = requests_written(monkeypatch)
            client = await router.client()
            client.write(read("r1") + {"error": command("GET", "k"), "framing": b"noise\r\n"}.get(why, b""))
            cache = await router.cache()
            await cache.resp()
            if why == "slow":  # as its transport does when it takes no answers
                next(iter(router.listener.connections)).pause_writing()
            await left(router, client)
            if end is None:
                cache.reset()
            else:
                cache.write(end)
            await until(lambda: not router.host.requests)
            assert written == ["r1"] and not router.host.router.pending and router.origin.links.empty()
            await until(lambda: not router.listener.connections)

    run(scenario)


@pytest.mark.parametrize("is_read", [True, False])
def test_nothing_is_sent_on_for_a_client_that_left_while_it_waited_for_a_place(
    is_read: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(clients, "ERROR_THROTTLE_TIME", 60.0)
        async with Router() as router:
            written = requests_written(monkeypatch)
            module = router.host.router
            first = await router.client()
            first.write(book("w1"))  # takes the only place at the origin
            origin = await router.origin.link()
            await origin.http()
            module.endpoints.origins[0].concurrency.limit = 1.0
            client = await router.client()
            client.write(book("w2") + (b"" if is_read else command("GET", "k")))
            await until(lambda: "w2" in module.pending and module.pending["w2"].is_queued)
            connection = list(router.listener.connections)[1]
            if is_read:
                client.close()
                await until(lambda: connection not in router.listener.connections)
            else:
                await until(lambda: not connection.transport.is_reading())
                client.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
                await until(lambda: is_hung_up(connection.transport))
            origin.write(http("200 OK", b"receipt"))
            assert await first.resp() == b"receipt"
            await until(lambda: not router.host.requests)
            assert written == ["w1"] and not module.pending

    run(scenario)


def test_nothing_is_sent_on_for_a_pipelining_client_that_left(monkeypatch: pytest.MonkeyPatch) -> None:
    """What it sent behind the most that is held waits unread, and so does the word that it has gone."""

    async def scenario() -> None:
        async with Router() as router:
            written = requests_written(monkeypatch)
            client, cache = await router.begun("r0")
            names = [f"r{n}" for n in range(1, 2 * clients.MAX_PIPELINED_COMMANDS)]
            client.write(b"".join(read(n) for n in names))
            await until(lambda: not next(iter(router.listener.connections)).transport.is_reading())
            await left(router, client)
            before = list(written)
            cache.write(HIT)
            await until(lambda: not router.listener.connections)
            assert written == before and not router.host.router.pending

    run(scenario)


def test_a_second_answer_that_comes_late_meets_no_other_request() -> None:
    """On a connection used again at once it came behind the next request, and was served as its value."""

    async def scenario() -> None:
        async with Router(rest=60.0) as router:
            client, first = await router.begun()
            first.write(HIT)
            assert await client.resp() == b"value"
            client.write(read("r2"))
            second = await router.cache()  # made anew
            assert (await second.resp())[2] == b"r2"
            first.write(HIT.replace(b"value", b"stale"))
            assert await first.ended()
            second.write(HIT.replace(b"value", b"fresh"))
            assert await client.resp() == b"fresh"

    run(scenario)


def test_a_connection_that_has_rested_is_used_again() -> None:
    async def scenario() -> None:
        async with Router(rest=0.0) as router:
            client, cache = await router.begun()
            cache.write(HIT)
            assert await client.resp() == b"value"
            client.write(read("r2"))
            assert (await cache.resp())[2] == b"r2"

    run(scenario)


def test_a_head_ahead_of_the_answer_does_not_press_it_for_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """The origin says at once that it goes on, and answers when its work is done: no answer has begun."""

    async def scenario() -> None:
        monkeypatch.setattr(upstream_connection, "RESPONSE_COMPLETION_TIMEOUT", 0.0)
        came = asyncio.Event()
        take = OriginConnection.data_received

        def noted(connection: OriginConnection, data: bytes) -> None:
            take(connection, data)
            came.set()

        monkeypatch.setattr(OriginConnection, "data_received", noted)
        async with Router() as router:
            client = await router.client()
            client.write(book("r1"))
            origin = await router.origin.link()
            await origin.http()
            origin.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            await came.wait()
            for _ in range(5):  # a timer of no time is over
                await asyncio.sleep(0)
            origin.write(http("200 OK", b"receipt"))
            assert await client.resp() == b"receipt"

    run(scenario)


# A keyed write that is sent again


@pytest.mark.parametrize(("window", "again"), [(0.9, False), (60.0, True)])
def test_a_keyed_write_is_not_sent_again_where_its_connection_may_come_up_behind_the_window(
    window: float, again: bool
) -> None:
    """Servers drop a repeat for so long and no longer; a dial may take a second here."""

    async def scenario() -> None:
        kinds = {"read": READ, "book": replace(BOOK, idempotency_window=window)}
        async with Router(replace(SETTINGS, classes=kinds, connect_timeout=1.0)) as router:
            client = await router.client()
            client.write(book("r1"))
            origin = await router.origin.link()
            await origin.http()  # whole: it may have run
            origin.reset()
            if again:
                origin = await router.origin.link()
                await origin.http()
                origin.write(http("200 OK", b"receipt"))
                assert await client.resp() == b"receipt"
            else:
                assert str(await client.resp()).startswith("BUSY")
                assert router.origin.links.empty() and not router.origins.connecting

    run(scenario)


# A connection that is ended to make room


async def slow_client(router: Router, answer: bytes) -> Link:
    """A client that has not taken its answer, of which a part is still with the router."""
    plain = socket.socket()
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    plain.connect(router.listener.socket.getsockname())
    client = Link(*await asyncio.open_connection(sock=plain, limit=1024))
    client.write(read("r1"))
    cache = await router.cache()
    await cache.resp()
    (connection,) = router.listener.connections
    connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    cache.write(b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(answer), answer))
    await until(lambda: connection in router.listener.connections.idle and connection.has_unsent_output())
    return client


def test_a_connection_is_not_ended_for_another_before_its_answer_has_gone_out() -> None:
    """Cut short by the router itself, the answer is lost."""

    async def scenario() -> None:
        answer = b"x" * 60_000
        async with Router(clients=1) as router:
            slow = await slow_client(router, answer)
            other = await router.client()
            other.write(command("PING"))
            assert await other.resp() == b"PONG"  # room would have been made by now
            assert await slow.resp() == answer

    run(scenario)


def test_a_client_that_never_takes_its_answer_does_not_stay_for_good(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(eviction, "OVERDUE_CHECK_INTERVAL", 0.01)
        async with Router() as router:
            slow = await slow_client(router, b"x" * 60_000)
            router.listener.evictor.longest_client_timeout = 0.0
            await until(lambda: not router.listener.connections)
            slow.close()

    run(scenario)


# The end of the router


@pytest.mark.parametrize("wait", ["server", "origin", "place"])
def test_all_is_answered_before_the_router_is_killed_however_long_clients_would_wait(wait: str) -> None:
    """With a fixed time to end in, SIGKILL found unanswered what waited for servers that hang."""

    async def scenario() -> None:
        kind = replace(READ, latency_objective=600.0, client_timeout=0.01)
        async with Router(replace(SETTINGS, classes={"read": kind, "book": BOOK})) as router:
            client = await router.client()
            info = "c=read,t=x,d=600000"
            if wait == "place":
                origin = router.host.router.endpoints.origins[0].concurrency
                origin.limit = origin.in_flight  # no room there, and none comes
            client.write(read("r1", info=info))
            cache = await router.cache()
            await cache.resp()
            if wait != "server":
                cache.write(MISS)
            if wait == "origin":
                await (await router.origin.link()).http()
            if wait == "place":
                await until(lambda: any(h.is_queued for h in router.host.router.pending.values()))
            router.host.start_shutdown(0.05)
            assert isinstance(await client.resp(), hiredis.ReplyError)
            client.write(read("r2", info=info))  # and what comes after that, at once
            assert str(await client.resp()).startswith("BUSY")
            await until(lambda: not router.host.requests)

    run(scenario)


def test_the_time_to_end_in_follows_from_the_longest_deadline(tmp_path: Path) -> None:
    """The hanging server's request would be cut off at the process's end, or by SIGKILL before."""

    async def scenario() -> None:
        async with Peer() as cache, Peer() as agent:
            config = config_with_cache(cache, agent, "automatic")
            classes = [{**row, "giveUp": 0.2, "aim": 0.2} for row in config["settings"]["classes"]]
            config["settings"]["classes"] = classes
            async with router_process(config, tmp_path / "config.json") as process:
                watch = await agent.link()
                await watch.http()
                watch.write(http("200 OK", message(2, False)))
                client = await connected_client(await listen_address(process.stderr))
                client.write(read("r1", info="c=read,t=t,d=600000"))
                await (await cache.link()).resp()
                process.send_signal(signal.SIGTERM)
                assert isinstance(await client.resp(), hiredis.ReplyError)
                assert await process.wait() == 0

    run(scenario)


def test_who_waits_to_be_accepted_at_the_end_is_served() -> None:
    """The kernel has accepted it and its request: closing the listener resets both."""

    async def scenario() -> None:
        async with Router(clients=1) as router:
            first, cache = await router.begun()
            second = await router.client()
            await until(lambda: len(router.listener.connections) == 2)  # one too many, and none to be ended
            second.write(read("r2"))
            third = await router.client()
            third.write(read("r3"))
            served = await router.cache()
            assert (await served.resp())[2] == b"r2"
            ending = asyncio.create_task(router.listener.stop(0.0, PATIENCE))
            await until(lambda: router.listener.connections.draining)
            cache.write(HIT)
            served.write(HIT)
            assert await first.resp() == await second.resp() == b"value"
            assert await first.ended() and await second.ended()
            last = await next_of(router, cache, served)
            last.write(HIT)
            assert await third.resp() == b"value"
            assert await third.ended()
            await ending

    run(scenario)


async def next_of(router: Router, *links: Link) -> Link:
    """The link, old or new, on which the next request comes."""
    waits = {asyncio.ensure_future(link.resp()): link for link in links}
    fresh = asyncio.ensure_future(router.cache())
    done, rest = await asyncio.wait([*waits, fresh], return_when=asyncio.FIRST_COMPLETED)
    for wait in rest:
        wait.cancel()
    if fresh not in done:
        return waits[done.pop()]
    await fresh.result().resp()
    return fresh.result()


def test_a_client_just_accepted_at_the_end_is_let_send_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """Closed with no answer it counts as refused, and many of them as lost."""

    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            await until(lambda: router.listener.connections.awaiting_command)
            monkeypatch.setattr(client_connection_table, "FIRST_COMMAND_GRACE", PATIENCE)
            ending = asyncio.create_task(router.listener.stop(0.0, PATIENCE))
            await until(lambda: router.listener.socket.fileno() < 0)
            client.write(read("r1"))
            cache = await router.cache()
            await cache.resp()
            cache.write(HIT)
            assert await client.resp() == b"value"
            assert await client.ended()
            await ending

    run(scenario)


def test_the_last_answer_of_an_ending_router_closes_its_connection() -> None:
    """Left open for an instant longer, the next request would be on its way to a process that ends."""

    async def scenario() -> None:
        async with Router() as router:
            client, cache = await router.begun()
            (connection,) = router.listener.connections
            ending = asyncio.create_task(router.listener.stop(0.0, PATIENCE))
            await until(lambda: router.listener.connections.draining)
            router.host.requests.respond("r1", b"-ERR failed\r\n")
            assert connection.transport.is_closing()
            assert isinstance(await client.resp(), hiredis.ReplyError)
            assert await client.ended()
            await ending
            del cache

    run(scenario)
