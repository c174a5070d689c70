"""Emulated clients: reuse of connections, the retry after a closed connection, and counts of outcomes."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from itertools import islice

import hiredis
import numpy as np
import pytest

from cache_router.net.resp import ErrorReply, Message
from scale_experiments.emulators.clients.connection import ClientRequest, classify_reply
from scale_experiments.emulators.clients.emulator import ClientsEmulator
from scale_experiments.emulators.clients.load import RouterLoad
from scale_experiments.emulators.clients.request_sequence import RequestSequence
from scale_experiments.emulators.clients.statistics import LoadStatistics, build_latency_histogram
from scale_experiments.emulators.messages.clients import (
    CONNECTIONS_OPENED,
    FAILED,
    LOST,
    NOT_CONNECTED,
    OPEN_CONNECTIONS,
    REJECTED,
    REQUESTS,
    RETRIES,
    SERVED,
    UNANSWERED,
    ClientsStats,
    GetClientsStats,
    PauseClients,
    StartClients,
)
from scale_experiments.emulators.messages.common import Done
from scale_experiments.measurement.histograms import decode_histogram
from tests.support.loopback import Peer, PeerConnection, encode_read

START = StartClients(
    routers=[],
    rate_per_s=500.0,
    seed=3,
    deadline_s=2.0,
    read_class="read",
    write_class="put",
    keys=20,
    zipf_exponent=0.9,
    write_share=0.25,
    value_bytes=5,
)
SERVED_REPLY = b"$1\r\nv\r\n"


def counts_of(load: RouterLoad) -> Counter[str]:
    """Return the counts of a load."""
    counts: Counter[str] = Counter()
    load.statistics.add_to(counts, build_latency_histogram())
    return counts


async def wait_for_outcome(load: RouterLoad, outcome: str, count: int = 1) -> None:
    """Wait until `count` requests have ended with an outcome."""
    while counts_of(load)[outcome] < count:
        await asyncio.sleep(0.001)


def send_request(load: RouterLoad, request_id: str) -> None:
    """Send a request that is due now."""
    load.send(ClientRequest(encode_read(request_id), asyncio.get_running_loop().time()))


async def send_on_new_connection(load: RouterLoad, router: Peer, request_id: str) -> PeerConnection:
    """Send a request that needs a new connection; return the router's side of it."""
    send_request(load, request_id)
    link = await router.accept_connection()
    assert (await link.read_resp())[2] == request_id.encode()
    return link


def parse_requests(encoded_requests: list[bytes]) -> list[list[bytes]]:
    """Return the parts of encoded requests."""
    reader = hiredis.Reader()
    parts = []
    for request in encoded_requests:
        reader.feed(request)
        parts.append(reader.gets())
    return parts


def test_request_sequence_is_the_same_for_the_same_seed() -> None:
    first, same, other = (
        list(islice(RequestSequence(START, seed, np.random.default_rng(seed)), 100)) for seed in (7, 7, 8)
    )
    assert first == same
    assert first != other


def test_request_sequence_has_reads_and_writes_of_the_protocol() -> None:
    requests = parse_requests(list(islice(RequestSequence(START, 7, np.random.default_rng(7)), 2000)))
    reads = [request for request in requests if request[0] == b"C.GET"]
    writes = [request for request in requests if request[0] == b"C.SET"]
    assert len(reads) + len(writes) == 2000
    assert 0.2 < len(writes) / 2000 < 0.3
    assert requests[9][2] == b"%08x%08x" % (7, 10)  # request id: seed and request number
    assert len({request[2] for request in requests}) == 2000
    assert all(request[3] == b"c=read,t=t,d=2000" for request in reads)
    assert all(request[3:] == [b"c=put,t=t,d=2000,k=" + request[2], b"wwwww"] for request in writes)
    popularity = Counter(int(request[1], 16) for request in requests)
    assert set(popularity) <= set(range(START.keys))
    assert popularity.most_common(1)[0][0] == 0


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (b"v", SERVED),
        ([b"v", b"hit"], SERVED),
        (ErrorReply("BUSY try later"), REJECTED),
        (ErrorReply("TIMEOUT"), FAILED),
        (None, FAILED),
    ],
)
def test_reply_determines_the_outcome_of_a_request(reply: Message, outcome: str) -> None:
    assert classify_reply(reply) == outcome


def test_load_statistics_count_outcomes_and_the_latency_of_served_requests() -> None:
    statistics = LoadStatistics()
    statistics.on_connected()
    statistics.on_connected()
    statistics.on_disconnected()
    for _ in range(3):
        statistics.on_request()
    statistics.on_retry()
    statistics.on_outcome(SERVED, 0.01)
    statistics.on_outcome(SERVED, 100.0)  # recorded as 60 s, the maximum of the histogram
    statistics.on_outcome(LOST, 5.0)
    counts, latency = Counter({SERVED: 10}), build_latency_histogram()
    statistics.add_to(counts, latency)
    assert counts == {
        REQUESTS: 3,
        RETRIES: 1,
        SERVED: 12,
        LOST: 1,
        OPEN_CONNECTIONS: 1,
        CONNECTIONS_OPENED: 2,
    }
    assert latency.get_total_count() == 2
    assert latency.get_min_value() == pytest.approx(10_000, rel=0.01)
    assert latency.get_max_value() == pytest.approx(60_000_000, rel=0.01)
    statistics.restart_latency()
    counts, latency = Counter(), build_latency_histogram()
    statistics.add_to(counts, latency)
    assert (counts[SERVED], latency.get_total_count()) == (2, 0)


async def test_load_reuses_an_idle_connection_and_opens_one_when_all_are_busy() -> None:
    async with Peer() as router:
        load = RouterLoad(router.address, START, 1)
        first = await send_on_new_connection(load, router, "r1")
        second = await send_on_new_connection(load, router, "r2")
        first.write(SERVED_REPLY)
        await wait_for_outcome(load, SERVED)
        send_request(load, "r3")
        assert (await first.read_resp())[2] == b"r3"
        first.write(b"-BUSY\r\n")
        second.write(b"?\r\n")  # malformed reply
        await wait_for_outcome(load, REJECTED)
        await wait_for_outcome(load, FAILED)
        assert await second.closed_by_peer()
        counts = counts_of(load)
        assert (counts[OPEN_CONNECTIONS], counts[CONNECTIONS_OPENED]) == (1, 2)
        first.close()


async def test_request_sent_on_a_connection_that_the_router_closes_is_retried_once() -> None:
    """A router may close an idle connection while the next request is on its way; a retry is not retried."""
    async with Peer() as router:
        load = RouterLoad(router.address, START, 1)
        first = await send_on_new_connection(load, router, "r1")
        first.write(SERVED_REPLY)
        await wait_for_outcome(load, SERVED)
        send_request(load, "r2")
        assert (await first.read_resp())[2] == b"r2"
        first.close()
        second = await router.accept_connection()
        assert (await second.read_resp())[2] == b"r2"
        second.close()
        await wait_for_outcome(load, LOST)
        counts = counts_of(load)
        assert (counts[RETRIES], counts[LOST], counts[SERVED], counts[OPEN_CONNECTIONS]) == (1, 1, 1, 0)


async def test_request_without_a_reply_or_a_connection_is_counted() -> None:
    async with Peer() as router:
        # longer than the process may be suspended while the connection is made
        load = RouterLoad(router.address, replace(START, deadline_s=0.5), 1)
        link = await send_on_new_connection(load, router, "r1")
        await wait_for_outcome(load, UNANSWERED)
        assert await link.closed_by_peer()
    send_request(load, "r2")
    await wait_for_outcome(load, NOT_CONNECTED)
    counts = counts_of(load)
    assert (counts[UNANSWERED], counts[NOT_CONNECTED], counts[LOST], counts[RETRIES]) == (1, 1, 0, 0)


async def test_clients_emulator_executes_its_commands() -> None:
    emulator = ClientsEmulator()
    async with Peer() as router:
        assert await emulator.handle(replace(START, routers=[router.address])) == Done()
        await router.serve(SERVED_REPLY)
        while True:
            stats = await emulator.handle(GetClientsStats())
            assert isinstance(stats, ClientsStats)
            if stats.counts.get(SERVED):
                break
            await asyncio.sleep(0.001)
        assert decode_histogram(stats.latency).get_total_count() == 1
        assert await emulator.handle(PauseClients()) == Done()
        await asyncio.sleep(0.05)  # longer than the time until the next request at this rate
        paused = await emulator.handle(GetClientsStats(restart=True))
        await asyncio.sleep(0.05)
        stats = await emulator.handle(GetClientsStats())
        assert isinstance(paused, ClientsStats)
        assert isinstance(stats, ClientsStats)
        assert stats.counts[REQUESTS] == paused.counts[REQUESTS]
        assert decode_histogram(stats.latency).get_total_count() == 0
