"""Discovery: whole lists and watches over HTTP/1.1, for many thousands of waiting calls.

    python -m scale_experiments.emulators.discovery 127.0.1.1:0

Commands (`do`): `list` and `change` (`index`, `endpoints` in discovery's form), `serve`, `silent` (calls
are accepted, read and never answered), `refuse` (all connections are reset and new ones refused), `busy`
(503 after `after_s`), `reset_held` (connections held since a silence are reset), `stats`. Several processes
that are told the same changes under the same indices act as one discovery, at one address each.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections import deque
from collections.abc import Iterable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from scale_experiments.emulators.control import process_usage, serve_commands

MAX_HEAD_BYTES = 8192  # of a call
MAX_WAIT_MS = 60_000
CHANGE_LOG_LENGTH = 1024  # indices; an older `after` is answered with the whole list
MAX_CACHED_BODIES = 256  # encoded bodies, by `after`
BUCKET_SECONDS = 0.1  # of the counts of calls over time
MAX_BUCKETS = 6000
BACKLOG = 4096
Entry = dict[str, Any]


class PollError(ValueError):
    """A call that is not of the protocol."""


class Registry:
    """The list and a bounded log of its changes; no I/O."""

    def __init__(self, log_length: int = CHANGE_LOG_LENGTH) -> None:
        self.index = 0
        self.entries: dict[str, Entry] = {}
        self.changes: deque[tuple[int, list[Entry]]] = deque(maxlen=log_length)
        self.bodies: dict[int | None, bytes] = {}  # of the present index, by `after`

    def replace(self, index: int, entries: Iterable[Entry]) -> None:
        """Take a whole list; what came before it is told by the whole list only."""
        self.index = index
        self.entries = {e["name"]: e for e in entries}
        self.changes.clear()
        self.bodies.clear()

    def change(self, index: int, entries: list[Entry]) -> None:
        """Take changed entries under the next index."""
        if index != self.index + 1:
            raise ValueError(f"change {index} does not follow {self.index}")
        self.index = index
        for entry in entries:
            if entry["status"] == "terminated":
                self.entries.pop(entry["name"], None)
            else:
                self.entries[entry["name"]] = entry
        self.changes.append((index, entries))
        self.bodies.clear()

    def has_update(self, after: int | None) -> bool:
        """Whether something other than `after` is held."""
        return after != self.index

    def response_body(self, after: int | None) -> bytes:
        """The answer's body: changed entries, each as it is now told last, or the whole list."""
        body = self.bodies.get(after)
        if body is None:
            oldest = self.index - len(self.changes)
            whole = after is None or not oldest <= after <= self.index
            changed = (
                {} if whole else {e["name"]: e for i, es in self.changes if i > (after or 0) for e in es}
            )
            told = self.entries if whole else changed
            body = orjson.dumps({"index": self.index, "snapshot": whole, "endpoints": list(told.values())})
            if len(self.bodies) < MAX_CACHED_BODIES:
                self.bodies[after] = body
        return body


def parse_poll(target: str) -> tuple[int | None, int]:
    """The index and the milliseconds of a call's target."""
    parts = urlsplit(target)
    if parts.path != "/registry/instances":
        raise PollError("no such path")
    query = parse_qs(parts.query)
    try:
        after = int(query["after"][0]) if "after" in query else None
        wait_ms = int(query["wait_ms"][0]) if "wait_ms" in query else 0
    except ValueError as e:
        raise PollError("not a number") from e
    return after, min(max(0, wait_ms), MAX_WAIT_MS)


def encode_response(status: str, body: bytes, close: bool) -> bytes:
    """An HTTP/1.1 response."""
    ending = b"Connection: close\r\n" if close else b""
    head = b"HTTP/1.1 %b\r\nContent-Length: %d\r\n%b\r\n" % (status.encode(), len(body), ending)
    return head + body


class PollConnection(asyncio.Protocol):
    """One connection: a call at a time, in the order in which they come."""

    __slots__ = ("after", "buffer", "close_after", "discovery", "is_unanswered", "timer", "transport")

    def __init__(self, discovery: DiscoveryEmulator) -> None:
        self.discovery = discovery
        self.buffer = b""
        self.after: int | None = None
        self.close_after = False
        self.is_unanswered = False  # a call has no answer yet
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.discovery.on_connected(self)

    def data_received(self, data: bytes) -> None:
        self.discovery.bytes_in += len(data)
        self.buffer += data
        if len(self.buffer) > MAX_HEAD_BYTES:
            self.transport.abort()
        elif not self.is_unanswered:
            self._read_poll()

    def _read_poll(self) -> None:
        head, found, self.buffer = self.buffer.partition(b"\r\n\r\n")
        if not found:
            self.buffer = head
            return
        first, _, fields = head.partition(b"\r\n")
        self.close_after = b"connection: close" in fields.lower()
        try:
            method, target, _ = first.decode("ascii").split(" ")
            if method != "GET":
                raise PollError("not a GET")
            self.after, wait_ms = parse_poll(target)
        except ValueError:  # also PollError, and text that is not ASCII
            self.close_after = True
            self.write("400 Bad Request", b"")
            return
        self.is_unanswered = True
        self.discovery.on_poll(self, wait_ms)

    def write(self, status: str, body: bytes) -> None:
        """Answer the call; the next one may have come meanwhile."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.is_unanswered = False
        data = encode_response(status, body, self.close_after)
        self.discovery.bytes_out += len(data)
        self.transport.write(data)
        if self.close_after:
            self.transport.close()
        elif self.buffer:
            self._read_poll()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.discovery.on_disconnected(self)


class DiscoveryEmulator:
    """One process of discovery: its list, its connections, its counts."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.mode = "serve"
        self.busy_after_s = 2.0
        self.open: dict[PollConnection, None] = {}
        self.waiting: dict[PollConnection, None] = {}
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)
        self.calls = self.connections = self.answered = self.refused = self.bytes_in = self.bytes_out = 0
        self.over_time: deque[list[float]] = deque(maxlen=MAX_BUCKETS)  # [bucket's number, calls]
        self.told_s = 0.0  # from the latest change until it was written to all that waited
        self.told_calls = 0

    async def listen(self) -> None:
        """Begin to accept; the port stays the same once chosen."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: PollConnection(self), *self.address, backlog=BACKLOG, reuse_address=True
        )
        self.address = self.server.sockets[0].getsockname()

    def on_connected(self, connection: PollConnection) -> None:
        self.connections += 1
        self.open[connection] = None

    def on_disconnected(self, connection: PollConnection) -> None:
        self.open.pop(connection, None)
        self.waiting.pop(connection, None)

    def on_poll(self, connection: PollConnection, wait_ms: int) -> None:
        """Take a call: answer it, or let it wait for news."""
        self.calls += 1
        bucket = time.monotonic() // BUCKET_SECONDS
        if self.over_time and self.over_time[-1][0] == bucket:
            self.over_time[-1][1] += 1
        else:
            self.over_time.append([bucket, 1])
        if self.mode == "silent":
            return
        loop = asyncio.get_running_loop()
        if self.mode == "busy":
            connection.timer = loop.call_later(self.busy_after_s, self._reject, connection)
        elif wait_ms == 0 or self.registry.has_update(connection.after):
            self._respond(connection)
        else:
            self.waiting[connection] = None
            connection.timer = loop.call_later(wait_ms / 1000, self._respond, connection)

    def _respond(self, connection: PollConnection) -> None:
        self.waiting.pop(connection, None)
        self.answered += 1
        connection.write("200 OK", self.registry.response_body(connection.after))

    def _reject(self, connection: PollConnection) -> None:
        self.refused += 1
        connection.write("503 Service Unavailable", b"")

    def change(self, index: int, endpoints: list[Entry]) -> None:
        """Apply a change and answer all that wait, unless calls go unanswered now."""
        started_at = time.monotonic()
        self.registry.change(index, endpoints)
        if self.mode != "serve":
            return
        self.told_calls = len(self.waiting)
        for connection in list(self.waiting):
            self._respond(connection)
        self.told_s = time.monotonic() - started_at

    async def set_mode(self, mode: str) -> None:
        """Serve, or leave calls without an answer in one of the ways."""
        if mode == "serve" and self.mode == "refuse":
            await self.listen()
        self.mode = mode
        if mode == "refuse" and self.server is not None:
            self.server.close()
            for connection in list(self.open):
                connection.transport.abort()
        if mode != "serve":
            for connection in self.waiting:  # forgotten: never answered
                if connection.timer is not None:
                    connection.timer.cancel()
            self.waiting.clear()

    def reset_unanswered(self) -> int:
        """Reset the connections whose calls went without an answer, as a machine that comes back does."""
        unanswered = [c for c in self.open if c.is_unanswered and c not in self.waiting]
        for connection in unanswered:
            connection.transport.abort()
        return len(unanswered)

    def stats(self) -> dict[str, Any]:
        """Counts since the start, and what the process has used."""
        names = (
            "calls",
            "connections",
            "answered",
            "refused",
            "bytes_in",
            "bytes_out",
            "told_s",
            "told_calls",
        )
        counts = {name: getattr(self, name) for name in names}
        now = {"index": self.registry.index, "open": len(self.open), "waiting": len(self.waiting)}
        return {
            **counts,
            **now,
            **process_usage(),
            "bucket_s": BUCKET_SECONDS,
            "over_time": list(self.over_time),
        }

    async def handle(self, command: dict[str, Any]) -> dict[str, Any]:
        """Carry out a command of the control channel."""
        match command["do"]:
            case "list":
                self.registry.replace(command["index"], command["endpoints"])
            case "change":
                self.change(command["index"], command["endpoints"])
            case "serve" | "silent" | "refuse" | "busy" as mode:
                self.busy_after_s = command.get("after_s", self.busy_after_s)
                await self.set_mode(mode)
            case "reset_held":
                return {"at": time.monotonic(), "reset": self.reset_unanswered()}
            case "stats":
                return self.stats()
            case other:
                raise ValueError(f"no such command: {other}")
        return {"at": time.monotonic()}


async def main(listen: str) -> None:
    """Serve at an address until standard input ends; the first line on standard output tells the address."""
    discovery = DiscoveryEmulator()
    host, _, port = listen.rpartition(":")
    discovery.address = (host, int(port))
    await discovery.listen()
    print(orjson.dumps({"address": "{}:{}".format(*discovery.address)}).decode(), flush=True)
    await serve_commands(discovery.handle)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
