"""Clients of routers: an open load of reads and writes over RESP2, keys by Zipf's law, all from one seed.

    python -m scale_experiments.emulators.clients

A client holds on to its connections and opens a further one when all are busy; a request that crossed the
router's close is sent once more. A request is not repeated otherwise. Commands (`do`): `start`, `rest` (no
new requests), `stats` (counts, and latencies of served requests as an HDR histogram in microseconds, base64;
with `restart` the histogram begins anew).
"""

from __future__ import annotations

import asyncio
import math
import time
from collections import Counter, deque
from collections.abc import Iterator
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from cache_router.net.resp import INCOMPLETE, ErrorReply, Message, RespError, RespReader, encode_command
from scale_experiments.emulators.control import serve, usage

MAX_VALUE = 64 * 1024
LONGEST_US = 60_000_000
CHUNK = 4096  # keys drawn at once
MOST_CONNECTIONS = 4000  # to one router
GRACE_S = 0.2  # after a deadline, until its connection is given up


class Asked:
    """One request."""

    __slots__ = ("again", "data", "due", "ended", "sent_at")

    def __init__(self, data: bytes, due: float) -> None:
        self.data = data
        self.due = due  # when it was to be sent: its latency counts from there
        self.sent_at = 0.0
        self.again = False  # sent once more
        self.ended = False


class ClientConnection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self, load: RouterLoad) -> None:
        self.load = load
        self.reader = RespReader(16, MAX_VALUE, MAX_VALUE + 8192)
        self.asked: Asked | None = None
        self.served = 0
        self.expiry: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.load.open += 1
        self.load.connections += 1

    def ask(self, asked: Asked) -> None:
        """Send a request."""
        loop = asyncio.get_running_loop()
        self.asked = asked
        asked.sent_at = loop.time()
        self.expiry = loop.call_at(asked.due + self.load.deadline_s + GRACE_S, self._give_up)
        self.transport.write(asked.data)

    def _end(self, what: str) -> None:
        """The request in hand has ended."""
        asked, self.asked = self.asked, None
        if self.expiry is not None:
            self.expiry.cancel()
        if asked is not None and not asked.ended:
            asked.ended = True
            self.load.ended(what, asked)

    def _give_up(self) -> None:
        self._end("unanswered")
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        try:
            answer = self.reader.next()
        except RespError:
            self._end("failed")
            self.transport.abort()
            return
        if answer is INCOMPLETE:
            return
        self.served += 1
        self._end(kind_of(answer))
        self.load.idle.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        load, asked = self.load, self.asked
        load.open -= 1
        if self in load.idle:
            load.idle.remove(self)
        if asked is None:
            return
        if self.served and not asked.again:  # a close between requests that crossed this one
            self.asked, asked.again = None, True
            if self.expiry is not None:
                self.expiry.cancel()
            load.counts["sent_again"] += 1
            load.send(asked)
        else:
            self._end("lost")


def kind_of(answer: Message) -> str:
    """What an answer says: served, refused or failed."""
    match answer:
        case bytes() | [bytes(), *_]:
            return "served"
        case ErrorReply(text) if text.split(" ")[0] == "BUSY":
            return "refused"
    return "failed"


class RouterLoad:
    """The load on one router."""

    def __init__(self, address: str, command: dict[str, Any], seed: int) -> None:
        host, _, port = address.rpartition(":")
        self.address = (host, int(port))
        self.deadline_s: float = command["deadline_s"]
        self.rate: float = command["rate_per_s"]
        self.write_share: float = command["write_share"]
        self.value = b"w" * int(command["value_bytes"])
        self.read_info = f"c={command['read']},t=t,d={int(self.deadline_s * 1000)}".encode()
        self.write_info = f"c={command['write']},t=t,d={int(self.deadline_s * 1000)}".encode()
        self.random = np.random.default_rng(seed)
        weights = 1.0 / np.arange(1, int(command["keys"]) + 1) ** float(command["zipf"])
        self.cumulative = np.cumsum(weights) / weights.sum()
        self.seed = seed
        self.number = 0
        self.idle: deque[ClientConnection] = deque()
        self.open = self.connections = 0
        self.counts: Counter[str] = Counter()
        self.latency = HdrHistogram(1, LONGEST_US, 2)
        self.dials: set[asyncio.Task[None]] = set()
        self.resting = False

    def requests(self) -> Iterator[bytes]:
        """Requests without end, the same for the same seed."""
        while True:
            keys = np.searchsorted(self.cumulative, self.random.random(CHUNK))
            writes = self.random.random(CHUNK) < self.write_share
            for key, write in zip(keys.tolist(), writes.tolist(), strict=True):
                self.number += 1
                name = b"%08x%08x" % (self.seed, self.number)
                if write:
                    info = self.write_info + b",k=" + name
                    yield encode_command([b"C.SET", b"%016x" % key, name, info, self.value])
                else:
                    yield encode_command([b"C.GET", b"%016x" % key, name, self.read_info])

    async def run(self) -> None:
        """Send at the rate until told to rest; what is late is sent at once and counts from its due time."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        for data in self.requests():
            due += -math.log(1.0 - self.random.random()) / self.rate
            if (left := due - loop.time()) > 0:
                await asyncio.sleep(left)
            if self.resting:
                return
            self.counts["asked"] += 1
            self.send(Asked(data, due))

    def send(self, asked: Asked) -> None:
        """Send on an idle connection, the one used last, or on a new one."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.transport.is_closing():
                connection.ask(asked)
                return
        if self.open + len(self.dials) >= MOST_CONNECTIONS:
            self.ended("not_sent", asked)
            return
        task = asyncio.create_task(self._dial(asked))
        self.dials.add(task)
        task.add_done_callback(self.dials.discard)

    async def _dial(self, asked: Asked) -> None:
        try:
            async with asyncio.timeout(self.deadline_s):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: ClientConnection(self), *self.address
                )
        except OSError:  # also a time-out
            self.ended("not_connected", asked)
            return
        connection.ask(asked)

    def ended(self, what: str, asked: Asked) -> None:
        """Count an answer, or that there is none."""
        self.counts[what] += 1
        if what == "served":
            took = asyncio.get_running_loop().time() - asked.due
            self.latency.record_value(max(1, min(LONGEST_US, round(took * 1e6))))


class Clients:
    """The process."""

    def __init__(self) -> None:
        self.loads: list[RouterLoad] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def handle(self, command: dict[str, Any]) -> dict[str, Any]:
        """Carry out a command of the control channel."""
        match command["do"]:
            case "start":
                for i, address in enumerate(command["routers"]):
                    load = RouterLoad(address, command, command["seed"] + i)
                    self.loads.append(load)
                    self.tasks.append(asyncio.create_task(load.run()))
                return {}
            case "rest":
                for load in self.loads:
                    load.resting = True
                return {}
            case "stats":
                stats = self.stats()
                if command.get("restart"):
                    for load in self.loads:
                        load.latency.reset()
                return stats
            case other:
                raise ValueError(f"no such command: {other}")

    def stats(self) -> dict[str, Any]:
        """Counts since the start, in sum over the routers, and what the process has used."""
        counts: Counter[str] = Counter()
        latency = HdrHistogram(1, LONGEST_US, 2)
        for load in self.loads:
            counts.update(load.counts)
            counts.update({"open": load.open, "connections": load.connections})
            latency.add(load.latency)
        text = bytes(latency.encode()).decode("ascii")
        return {**usage(), "time": time.time(), "counts": dict(counts), "latency": text}


if __name__ == "__main__":
    asyncio.run(serve(Clients().handle))
