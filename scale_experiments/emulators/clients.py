"""Clients of routers: an open load of reads and writes over RESP2, keys by Zipf's law, all from one seed.

    python -m scale_experiments.emulators.clients

A client reuses its connections and opens a further one when all are busy. A request that crossed the router's
close is retried once; there are no other retries. Commands: `StartClients`, `PauseClients` and
`GetClientsStats` of `scale_experiments.emulators.messages`.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import asdict
from typing import cast

import numpy as np
from hdrh.histogram import HdrHistogram

from cache_router.net.resp import INCOMPLETE, ErrorReply, Message, RespError, RespReader, encode_command
from scale_experiments.emulators.control import process_usage, serve_commands
from scale_experiments.emulators.messages.clients import (
    CONNECTIONS_OPENED,
    FAILED,
    LOST,
    NOT_CONNECTED,
    NOT_SENT,
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
from scale_experiments.measurement.histograms import encode_histogram

MAX_ARRAY_LENGTH = 16  # of a reply
MAX_VALUE_BYTES = 64 * 1024
MAX_REPLY_BYTES = MAX_VALUE_BYTES + 8192
MAX_LATENCY_US = 60_000_000
KEYS_PER_DRAW = 4096
MAX_CONNECTIONS_PER_ROUTER = 4000
DEADLINE_GRACE_S = 0.2  # after a deadline, until its connection is given up


ClientsCommand = StartClients | PauseClients | GetClientsStats
COMMAND_TYPES: dict[str, type[ClientsCommand]] = {
    each.do: each for each in (StartClients, PauseClients, GetClientsStats)
}


class ClientRequest:
    """One request; times are of the event loop, in seconds."""

    __slots__ = ("completed", "data", "due_at", "is_retry", "sent_at")

    def __init__(self, data: bytes, due_at: float) -> None:
        self.data = data
        self.due_at = due_at  # when it was to be sent: its latency counts from there
        self.sent_at = 0.0
        self.is_retry = False  # sent once more
        self.completed = False


class ClientConnection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self, load: RouterLoad) -> None:
        self.load = load
        self.reader = RespReader(MAX_ARRAY_LENGTH, MAX_VALUE_BYTES, MAX_REPLY_BYTES)
        self.request: ClientRequest | None = None
        self.completed_requests = 0
        self.expiry: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.load.open_connections += 1
        self.load.connections_opened += 1

    def send(self, request: ClientRequest) -> None:
        """Send a request."""
        loop = asyncio.get_running_loop()
        self.request = request
        request.sent_at = loop.time()
        self.expiry = loop.call_at(request.due_at + self.load.deadline_s + DEADLINE_GRACE_S, self._time_out)
        self.transport.write(request.data)

    def _complete(self, outcome: str) -> None:
        """Count the outcome of the request in flight, unless it was counted before."""
        request, self.request = self.request, None
        if self.expiry is not None:
            self.expiry.cancel()
        if request is not None and not request.completed:
            request.completed = True
            self.load.record_outcome(outcome, request)

    def _time_out(self) -> None:
        self._complete(UNANSWERED)
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Complete the request in flight, if its reply is whole."""
        self.reader.feed(data)
        try:
            reply = self.reader.next()
        except RespError:
            self._complete(FAILED)
            self.transport.abort()
            return
        if reply is INCOMPLETE:
            return
        self.completed_requests += 1
        self._complete(outcome_of(reply))
        self.load.idle.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Retry the request in flight if it crossed a close, or count it as lost."""
        load, request = self.load, self.request
        load.open_connections -= 1
        if self in load.idle:
            load.idle.remove(self)
        if request is None:
            return
        if self.completed_requests and not request.is_retry:  # a close between requests that crossed this one
            self.request, request.is_retry = None, True
            if self.expiry is not None:
                self.expiry.cancel()
            load.counts[RETRIES] += 1
            load.send(request)
        else:
            self._complete(LOST)


def outcome_of(reply: Message) -> str:
    """What a reply says: that the request was served, rejected or failed."""
    match reply:
        case bytes() | [bytes(), *_]:
            return SERVED
        case ErrorReply(text) if text.split(" ")[0] == "BUSY":
            return REJECTED
    return FAILED


class RouterLoad:
    """The load on one router."""

    def __init__(self, address: str, command: StartClients, seed: int) -> None:
        host, _, port = address.rpartition(":")
        self.address = (host, int(port))
        self.deadline_s = command.deadline_s
        self.rate = command.rate_per_s
        self.write_share = command.write_share
        self.value = b"w" * command.value_bytes
        deadline_ms = int(self.deadline_s * 1000)
        self.read_info = f"c={command.read_class},t=t,d={deadline_ms}".encode()
        self.write_info = f"c={command.write_class},t=t,d={deadline_ms}".encode()
        self.random = np.random.default_rng(seed)
        weights = 1.0 / np.arange(1, command.keys + 1) ** float(command.zipf_exponent)
        self.cumulative_popularity = np.cumsum(weights) / weights.sum()
        self.seed = seed
        self.request_count = 0
        self.idle: deque[ClientConnection] = deque()
        self.open_connections = self.connections_opened = 0
        self.counts: Counter[str] = Counter()
        self.latency = HdrHistogram(1, MAX_LATENCY_US, 2)
        self.pending_connects: set[asyncio.Task[None]] = set()
        self.paused = False

    def requests(self) -> Iterator[bytes]:
        """Requests without end, the same for the same seed."""
        while True:
            keys = np.searchsorted(self.cumulative_popularity, self.random.random(KEYS_PER_DRAW))
            writes = self.random.random(KEYS_PER_DRAW) < self.write_share
            for key, write in zip(keys.tolist(), writes.tolist(), strict=True):
                self.request_count += 1
                name = b"%08x%08x" % (self.seed, self.request_count)
                if write:
                    request_info = self.write_info + b",k=" + name
                    yield encode_command([b"C.SET", b"%016x" % key, name, request_info, self.value])
                else:
                    yield encode_command([b"C.GET", b"%016x" % key, name, self.read_info])

    async def run(self) -> None:
        """Send at the rate until paused; what is late is sent at once and counts from its due time."""
        loop = asyncio.get_running_loop()
        due_at = loop.time()
        for data in self.requests():
            due_at += -math.log(1.0 - self.random.random()) / self.rate
            if (remaining_s := due_at - loop.time()) > 0:
                await asyncio.sleep(remaining_s)
            if self.paused:
                return
            self.counts[REQUESTS] += 1
            self.send(ClientRequest(data, due_at))

    def send(self, request: ClientRequest) -> None:
        """Send on an idle connection, the one used last, or on a new one."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.transport.is_closing():
                connection.send(request)
                return
        if self.open_connections + len(self.pending_connects) >= MAX_CONNECTIONS_PER_ROUTER:
            self.record_outcome(NOT_SENT, request)
            return
        task = asyncio.create_task(self._connect(request))
        self.pending_connects.add(task)
        task.add_done_callback(self.pending_connects.discard)

    async def _connect(self, request: ClientRequest) -> None:
        try:
            async with asyncio.timeout(self.deadline_s):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: ClientConnection(self), *self.address
                )
        except OSError:  # also a time-out
            self.record_outcome(NOT_CONNECTED, request)
            return
        connection.send(request)

    def record_outcome(self, outcome: str, request: ClientRequest) -> None:
        """Count how a request ended and, if it was served, its latency."""
        self.counts[outcome] += 1
        if outcome == SERVED:
            latency_s = asyncio.get_running_loop().time() - request.due_at
            self.latency.record_value(max(1, min(MAX_LATENCY_US, round(latency_s * 1e6))))


class ClientsEmulator:
    """All that the process emulates, driven by the commands of its control channel."""

    def __init__(self) -> None:
        self.loads: list[RouterLoad] = []
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, command: StartClients) -> None:
        """Start the load on each router, with a seed of its own."""
        for number, address in enumerate(command.routers):
            load = RouterLoad(address, command, command.seed + number)
            self.loads.append(load)
            self.tasks.append(asyncio.create_task(load.run()))

    def stats(self) -> ClientsStats:
        """Counts since the start, in sum over the routers, and what the process has used."""
        counts: Counter[str] = Counter()
        latency = HdrHistogram(1, MAX_LATENCY_US, 2)
        for load in self.loads:
            counts.update(load.counts)
            counts[OPEN_CONNECTIONS] += load.open_connections
            counts[CONNECTIONS_OPENED] += load.connections_opened
            latency.add(load.latency)
        return ClientsStats(
            time=time.time(),
            counts=dict(counts),
            latency=encode_histogram(latency),
            **asdict(process_usage()),
        )

    async def handle(self, command: ClientsCommand) -> object:
        """Carry out a command of the control channel; returns the reply."""
        match command:
            case StartClients():
                self.start(command)
            case PauseClients():
                for load in self.loads:
                    load.paused = True
            case GetClientsStats():
                stats = self.stats()
                if command.restart:
                    for load in self.loads:
                        load.latency.reset()
                return stats
        return Done()


if __name__ == "__main__":
    asyncio.run(serve_commands(ClientsEmulator().handle, COMMAND_TYPES))
