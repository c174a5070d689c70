"""Polls of discovery by a process whose descriptors are used up by clients and attempts."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path

import pytest

from tests.support.endpoint_lists import encode_endpoint_list, peer_entry
from tests.support.loopback import (
    HIT,
    Clients,
    Peer,
    PeerConnection,
    encode_command,
    encode_http_response,
    encode_read,
    format_address,
)
from tests.support.router_process import (
    PROCESS_TEST_TIMEOUT,
    config_with_cache,
    discard_log,
    listen_address,
    router_process,
)

DESCRIPTOR_LIMIT = 64  # smallest limit that a configuration may set
# descriptors that clients and attempts share; the router reserves the others for everything else
SHARED_DESCRIPTORS = DESCRIPTOR_LIMIT - 32
LONG_DEADLINE = "c=read,t=t,d=600000"
# Latency objective of each class in seconds. A server that is silent for the shortest objective gets one
# attempt at a time: if the test process paused for longer, too few attempts would use descriptors.
LATENCY_OBJECTIVE = 30.0


async def poll_until(condition: Callable[[], object]) -> None:
    """Poll a condition that depends on another process until it holds."""
    while not condition():
        await asyncio.sleep(0.01)


def open_descriptors(process: asyncio.subprocess.Process) -> int:
    """Return how many descriptors a process has open."""
    return len(list(Path(f"/proc/{process.pid}/fd").iterdir()))


@asynccontextmanager
async def listening_peers(count: int) -> AsyncIterator[list[Peer]]:
    """Run the given number of servers."""
    async with AsyncExitStack() as stack:
        yield [await stack.enter_async_context(Peer()) for _ in range(count)]


async def serve_and_record(peer: Peer, served: list[Peer]) -> None:
    """Answer all reads at a server, and append the server to `served` for each."""

    async def answer_all(link: PeerConnection) -> None:
        with suppress(AssertionError, ConnectionError):  # the connection was closed
            while True:
                await link.read_resp()
                link.write(HIT)
                served.append(peer)

    async with asyncio.TaskGroup() as links:
        while True:
            links.create_task(answer_all(await peer.accept_connection()))


class UnavailableAgent(Peer):
    """A discovery agent on a port that refuses connections until `start_listening`."""

    def __init__(self) -> None:
        """Reserve a port without listening on it."""
        super().__init__()
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.address = format_address(self.socket.getsockname())

    async def start_listening(self) -> None:
        """Accept connections from now on."""
        self.server = await asyncio.start_server(self._accept, sock=self.socket)


async def exhaust_descriptors(
    clients: Clients, address: tuple[str, int], caches: list[Peer], origin: Peer
) -> None:
    """Use up the shared descriptors with idle clients and with attempts that get no response."""
    busy_clients = [await clients.connect_and_ping(address) for _ in range(3)]
    for n in range(31):
        for i in (0, 1):
            busy_clients[i].write(encode_read(f"r{i}-{n}", f"k{i}-{n}", LONG_DEADLINE))
        busy_clients[2].write(encode_command("C.SET", f"k{n}", f"w{n}", "c=pay,t=t,d=600000,k=1", "v"))
    await poll_until(lambda: sum(p.links.qsize() for p in caches) == SHARED_DESCRIPTORS * 3 // 8)
    await poll_until(lambda: origin.links.qsize() == SHARED_DESCRIPTORS // 8)
    for _ in range(DESCRIPTOR_LIMIT):
        await clients.connect_and_ping(address)
    for _ in range(DESCRIPTOR_LIMIT):
        await clients.connect(address)


async def read_until_served(client: PeerConnection, caches: list[Peer], expected: set[Peer]) -> None:
    """Send reads of different keys until each of the expected servers has answered one, 200 at most.

    A read is always in flight, because the router may evict an idle client: near its connection limit it
    does so 0.1 s after a client's only command, and the test process may be paused for that long.
    """
    served: list[Peer] = []
    serving = [asyncio.create_task(serve_and_record(peer, served)) for peer in caches]
    reads = (encode_read(f"x{n}", f"x{n}", LONG_DEADLINE) for n in range(200))
    client.write(encode_command("PING") + next(reads))
    assert await client.read_resp() == b"PONG"
    while not expected <= set(served):
        client.write(next(reads))
        await client.read_resp()
    for task in serving:
        task.cancel()


# Descriptors that the configuration allows. The process limit of 64 applies in both cases.
@pytest.mark.parametrize("allowed", [DESCRIPTOR_LIMIT, 1024])
@pytest.mark.parametrize("agent_state", ["refused", "silent"])
@pytest.mark.time_limit(PROCESS_TEST_TIMEOUT)
async def test_endpoint_list_is_received_while_descriptors_are_exhausted(
    clients: Clients, agent_state: str, allowed: int, tmp_path: Path
) -> None:
    """Idle clients, silent clients and attempts without a response, as many as the router admits."""
    async with listening_peers(5) as (*caches, new_cache, origin):
        agent = UnavailableAgent()
        config = config_with_cache(caches[0], agent, "automatic")
        entries = [peer_entry(f"s-{n}", c, weight=1.0) for n, c in enumerate(caches)]
        entries.append(peer_entry("o", origin, type="store", weight=1.0))
        config["known"]["endpoints"] = entries
        config["limits"] = {"sockets": allowed}
        for request_class in config["settings"]["classes"]:
            request_class.update(aim=LATENCY_OBJECTIVE, giveUp=LATENCY_OBJECTIVE)
        if agent_state == "silent":
            await agent.start_listening()
        async with router_process(config, tmp_path / "config.json", DESCRIPTOR_LIMIT) as process:
            address = await listen_address(process.stderr)
            log_reader = asyncio.create_task(discard_log(process.stderr))
            await exhaust_descriptors(clients, address, caches, origin)
            # Polled, because the router may have evicted idle clients and not accepted the silent ones yet.
            await poll_until(lambda: open_descriptors(process) > SHARED_DESCRIPTORS)
            assert open_descriptors(process) <= DESCRIPTOR_LIMIT
            if agent_state == "refused":
                await agent.start_listening()
            else:
                while not agent.links.empty():
                    (await agent.accept_connection()).reset()
            entries.append(peer_entry("s-new", new_cache, weight=1.0))
            response = encode_http_response("200 OK", encode_endpoint_list(50, True, *entries))
            poll = await agent.accept_connection()
            await poll.read_http()
            poll.write(response)
            assert "after=50&" in (await (await agent.accept_connection()).read_http())[0]
            client = await clients.connect(address)
            await read_until_served(client, [*caches, new_cache], {caches[0], new_cache})
            log_reader.cancel()
        await agent.__aexit__(None, None, None)
