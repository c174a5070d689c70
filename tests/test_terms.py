"""What the standing test asks of a router since it counts late attempts, full tables and slow starts."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path
from types import FrameType
from typing import Any

import orjson
import pytest

from cache_router.config import read_config
from cache_router.decisions.actions import Send
from cache_router.decisions.events import EndpointUpdateKind, Timer, TimerFired, TimerKind
from cache_router.net import client_connection as clients
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.client_connection import ClientConnection
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.endpoint_list_reader import read_endpoint_list
from cache_router.net.origin_connection import OriginConnection
from tests.event_order import DelayedConnections, first_connection, record_written_requests, wait_until
from tests.loopback import HIT, MISS, Link, Peer, Router, book, command, http, read, run, spelled
from tests.test_main import VALID_CONFIG, config_with_cache, connected_client, listen_address, router_process
from tests.test_net_discovery import LINE, message
from tests.upstream_attempts import GET

# A client that has left: the tests' sockets block, so that it has left before the router's loop looks again

LEAVES = ["closes", "half-closes", "resets"]


def plain_client(router: Router) -> socket.socket:
    return socket.create_connection(router.listener.socket.getsockname())


def leave(client: socket.socket, how: str) -> None:
    """The router's machine knows of it when this returns."""
    if how == "half-closes":
        client.shutdown(socket.SHUT_WR)
        return
    if how == "resets":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


async def accepted(router: Router, client: socket.socket) -> ClientConnection:
    """The router's end of a client's connection."""
    name = client.getsockname()

    def found() -> list[ClientConnection]:
        made = router.listener.connections
        return [c for c in made if c.transport.get_extra_info("peername") == name]

    await wait_until(found)
    return found()[0]


async def settled(router: Router) -> None:
    """Nothing is out and nothing is held, so that no attempt can follow."""
    host = router.host
    await wait_until(lambda: not (host.requests or router.servers.connecting or router.origins.connecting))
    assert not host.router.pending and not host.router.attempts


async def warm(router: Router) -> dict[str, Link]:
    """A kept connection to every server, by its name: an attempt there is written at once."""
    host = router.host
    links: dict[str, Link] = {}
    for name, listed in host.endpoints.items():
        ended = asyncio.Event()
        pool, peer = host.endpoints.pool_of(listed), router.caches.get(name, router.origin)
        pool.start(listed.address, GET, 60.0, lambda *_, ended=ended: ended.set(), listed.incarnation)
        links[name] = link = await peer.link()
        await (link.http() if peer is router.origin else link.resp())
        link.write(http("200 OK", b"value") if peer is router.origin else HIT)
        await ended.wait()
    return links


async def reader(links: dict[str, Link]) -> Link:
    """The cache server's end on which the next request comes."""
    waits = {asyncio.ensure_future(links[name].resp()): links[name] for name in ("a", "b")}
    done, (other,) = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    other.cancel()
    return waits[done.pop()]


@pytest.mark.parametrize("how", LEAVES)
@pytest.mark.parametrize("why", ["backlog", "pipeline", "error", "slow", "lag"])
def test_what_is_read_after_its_client_has_left_is_not_sent_on(
    why: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end of a connection comes behind what was sent on it, and is read later, or not for long."""
    monkeypatch.setattr(clients, "ERROR_THROTTLE_TIME", 600.0)

    async def scenario() -> None:
        async with Router(clients=1 if why == "backlog" else 16) as router:
            router.list("a")
            usual, cache = await router.client(), (await warm(router))["a"]
            written = record_written_requests(monkeypatch)
            if why == "backlog":
                usual.write(read("u1"))
                assert (await cache.resp())[2] == b"u1"
                crowd = await router.client()  # the one too many: all later ones wait outside
                crowd.write(read("u2"))
                other = await router.caches["a"].link()
                assert (await other.resp())[2] == b"u2"
                client = plain_client(router)
                client.sendall(read("r1"))
                leave(client, how)
                cache.write(HIT)
                assert await usual.resp() == b"value"
                last = await router.client()
                last.write(command("PING"))
                assert await last.resp() == b"PONG"  # so that the one ahead of it has had its turn
                other.write(HIT)
                assert await crowd.resp() == b"value"
            else:
                client = plain_client(router)
                connection = await accepted(router, client)
                if why == "pipeline":
                    monkeypatch.setattr(clients, "MAX_PIPELINED_COMMANDS", 1)
                    client.sendall(read("r0"))
                    assert (await cache.resp())[2] == b"r0"
                elif why == "error":
                    client.sendall(command("GET", "k"))
                    await wait_until(lambda: connection.throttled)
                elif why == "slow":
                    connection.pause_writing()
                client.sendall(read("r1"))
                leave(client, how)
                if why == "pipeline":
                    cache.write(HIT)
                elif why == "error":
                    connection._end_throttling()
                elif why == "slow":
                    connection.resume_writing()
                await wait_until(lambda: connection not in router.listener.connections)
            client.close()
            await settled(router)
            assert "r1" not in written

    run(scenario)


@pytest.mark.parametrize("how", LEAVES)
@pytest.mark.parametrize("why", ["miss", "reset", "refused write", "timer", "dial"])
def test_no_attempt_begins_for_a_client_that_has_left_in_the_same_instant(
    why: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What asks for the attempt comes first, and the loop would hear of the client's end right behind it."""

    async def scenario() -> None:
        async with Router() as router:
            links = await warm(router)
            origin = links["o"]
            written = record_written_requests(monkeypatch)
            dials = DelayedConnections(monkeypatch, *router.caches.values())
            client = plain_client(router)
            await accepted(router, client)
            if why == "dial":
                for idle in list(router.servers.idle):
                    idle.abort()
                client.sendall(read("r1"))
                await first_connection(router)
                leave(client, how)
                dials.up.set()
            elif why == "refused write":
                client.sendall(book("r1"))
                await origin.http()
                origin.write(http("503 Busy", b"", "Not-Started: 1"))
                leave(client, how)
            else:
                client.sendall(read("r1"))
                cache = await reader(links)
                if why == "miss":
                    cache.write(MISS)
                elif why == "reset":
                    cache.reset()
                    await asyncio.sleep(0)  # in which it is reset
                leave(client, how)
                if why == "timer":
                    with monkeypatch.context() as patch:
                        names = router.host.endpoints
                        wanted = [Send("r1", n) for n in names]
                        # once: the outcomes of these sends are events too, and a loop of them never ends
                        # and never yields to the test's time limit (it took 9 GB; ended three times by hand)
                        answers = iter([wanted])
                        patch.setattr(router.host.router, "handle", lambda now, event: next(answers, []))
                        router.host.post(TimerFired(Timer(TimerKind.HEDGE, "r1")))
            await settled(router)
            assert written == ([] if why == "dial" else ["r1"])
            client.close()

    run(scenario)


# Descriptors: clients and attempts use all that they may

PROCESS_TEST_TIMEOUT = 60.0  # seconds for a test with a process of its own, which starts on a busy machine
DESCRIPTOR_LIMIT = 64  # the fewest that a configuration may allow
LONG_DEADLINE = "c=read,t=t,d=600000"


async def eventually(holds: Callable[[], object]) -> None:
    """Go on once something holds that another process brings about."""
    while not holds():
        await asyncio.sleep(0.01)


@asynccontextmanager
async def peers(count: int) -> AsyncIterator[list[Peer]]:
    async with AsyncExitStack() as stack:
        yield [await stack.enter_async_context(Peer()) for _ in range(count)]


def list_entry(name: str, peer: Peer, kind: str = "std") -> dict[str, Any]:
    return {**LINE, "name": name, "address": peer.address, "type": kind, "since_ms": 0, "weight": 1.0}


async def serve_all(peer: Peer, served: list[Peer]) -> None:
    """Answer all that comes, and note at whom."""

    async def answer(link: Link) -> None:
        with suppress(AssertionError, ConnectionError):  # the connection's end
            while True:
                await link.resp()
                link.write(HIT)
                served.append(peer)

    async with asyncio.TaskGroup() as links:
        while True:
            links.create_task(answer(await peer.link()))


class UnavailableAgent(Peer):
    """Discovery on a port that refuses until it comes back."""

    def __init__(self) -> None:
        super().__init__()
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.address = spelled(self.socket.getsockname())

    async def start_listening(self) -> None:
        self.server = await asyncio.start_server(self._accept, sock=self.socket)


# what the configuration allows; the limit of the process counts in both cases
@pytest.mark.parametrize("allowed", [DESCRIPTOR_LIMIT, 1024])
@pytest.mark.parametrize("agent_state", ["refused", "silent"])
def test_a_list_is_learnt_while_clients_and_attempts_fill_the_descriptors(
    agent_state: str, allowed: int, tmp_path: Path
) -> None:
    """Idle clients, silent ones and attempts that hang, as many as there may be of each."""

    async def scenario() -> None:
        async with peers(5) as (*caches, fresh, origin):
            agent = UnavailableAgent()
            config = config_with_cache(caches[0], agent, "automatic")
            known = [list_entry(f"s-{n}", c) for n, c in enumerate(caches)]
            known.append(list_entry("o", origin, "store"))
            config["known"]["endpoints"] = known
            config["limits"] = {"sockets": allowed}
            if agent_state == "silent":
                await agent.start_listening()
            async with router_process(config, tmp_path / "config.json", DESCRIPTOR_LIMIT) as process:
                address = await listen_address(process.stderr)
                drain = asyncio.create_task(discard_log(process.stderr))
                shared_descriptors = DESCRIPTOR_LIMIT - 32
                busy = [await connected_client(address) for _ in range(3)]
                for n in range(31):
                    for i in (0, 1):
                        busy[i].write(read(f"r{i}-{n}", f"k{i}-{n}", LONG_DEADLINE))
                    busy[2].write(command("C.SET", f"k{n}", f"w{n}", "c=pay,t=t,d=600000,k=1", "v"))
                await eventually(lambda: sum(p.links.qsize() for p in caches) == shared_descriptors * 3 // 8)
                await eventually(lambda: origin.links.qsize() == shared_descriptors // 8)
                crowd = [await connected_client(address) for _ in range(DESCRIPTOR_LIMIT)]
                crowd += [await idle_client(address) for _ in range(DESCRIPTOR_LIMIT)]
                used = len(os.listdir(f"/proc/{process.pid}/fd"))
                assert shared_descriptors < used <= DESCRIPTOR_LIMIT
                if agent_state == "refused":
                    await agent.start_listening()
                else:
                    while not agent.links.empty():
                        (await agent.link()).reset()
                call = await agent.link()
                await call.http()
                call.write(http("200 OK", message(50, True, *known, list_entry("s-new", fresh))))
                assert "after=50&" in (await (await agent.link()).http())[0]
                client = await connected_client(address)
                served: list[Peer] = []
                serving = [asyncio.create_task(serve_all(p, served)) for p in (*caches, fresh)]
                keys = iter(range(200))
                while not {caches[0], fresh} <= set(served):
                    n = next(keys)
                    client.write(read(f"x{n}", f"x{n}", LONG_DEADLINE))
                    await client.resp()
                for task in (*serving, drain):
                    task.cancel()
                for link in (*busy, *crowd, client):
                    link.close()
            await agent.__aexit__(None, None, None)

    run(scenario, PROCESS_TEST_TIMEOUT)


async def idle_client(address: tuple[str, int]) -> Link:
    return Link(*await asyncio.open_connection(*address))


async def discard_log(log: asyncio.StreamReader | None) -> None:
    """A log that nobody reads would stop its process."""
    while log is not None and await log.readline():
        pass


# Startup with a long endpoint list


def cache_entries(count: int) -> list[dict[str, Any]]:
    """Entries of cache servers at addresses that nobody connects to here."""
    return [
        {**LINE, "name": f"s-{n:08x}", "address": f"10.1.{n // 200}.{n % 200 + 1}:6379", "type": "std"}
        for n in range(count)
    ]


class RouterStart:
    """What a host does with the list known and then, the same once more, with the first whole one."""

    def __init__(self, count: int) -> None:
        entries = cache_entries(count)
        self.config = {**VALID_CONFIG, "known": {"index": 1, "snapshot": True, "endpoints": entries}}
        self.text = orjson.dumps(self.config)
        self.answer = message(2, True, *entries)

    def run(self) -> None:
        config = read_config(self.text)
        servers = ConnectionPool(CacheConnection, 8, 1.0, 60.0)
        origin = ConnectionPool(OriginConnection, 8, 1.0, 60.0)
        host = Dispatcher(config.settings, config.seed, servers, origin, lambda: None)
        host.on_endpoint_update(EndpointUpdateKind.CACHED, config.cached_endpoints)
        update = read_endpoint_list(orjson.loads(self.answer))
        host.on_endpoint_update(EndpointUpdateKind.SNAPSHOT, update.endpoints)

    def calls(self) -> int:
        """Functions called, those of the interpreter's own included."""
        counted = 0

        def count(frame: FrameType, event: str, argument: object) -> None:
            nonlocal counted
            counted += event in ("call", "c_call")

        sys.setprofile(count)
        try:
            self.run()
        finally:
            sys.setprofile(None)
        return counted

    def seconds(self) -> float:
        """Processor time, at best."""
        spent = []
        for _ in range(5):
            began = time.process_time()
            self.run()
            spent.append(time.process_time() - began)
        return min(spent)


def test_the_work_of_a_start_grows_no_faster_than_the_list() -> None:
    """On a shared core, with 840 entries, nine in ten have to be ready within 10 s."""
    few, many = RouterStart(210), RouterStart(840)
    assert many.calls() < 1.25 * 4 * few.calls()
    assert many.seconds() < 3.0 * 4 * few.seconds()  # also what no call shows


def processor_seconds(process: asyncio.subprocess.Process) -> float:
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return sum(map(int, fields[11:13])) / os.sysconf("SC_CLK_TCK")


def test_a_start_with_840_entries_asks_discovery_once(
    tmp_path: Path, record_property: Callable[[str, object], None]
) -> None:
    """Where all that were killed start together, a second call for the list waits behind all first ones."""

    async def scenario() -> None:
        async with Peer() as agent:
            entries = cache_entries(840)
            config = config_with_cache(agent, agent, "automatic")
            config["known"]["endpoints"] = entries
            async with router_process(config, tmp_path / "config.json") as process:
                call = await agent.link()
                assert "after=1&" in (await call.http())[0]
                call.write(http("200 OK", message(2, True, *entries)))
                client = await connected_client(await listen_address(process.stderr))
                record_property("processor_seconds", processor_seconds(process))
                watch = await agent.link()  # on what comes after the list: no second call for it
                first, _, _ = await watch.http()
                assert "after=2&" in first and "wait_ms=0 " not in first
                client.write(command("PING"))
                assert await client.resp() == b"PONG"
                assert agent.links.empty()
                client.close()

    run(scenario, PROCESS_TEST_TIMEOUT)
