"""Discovery: whole lists and watches over HTTP/1.1, for many thousands of waiting polls.

    python -m scale_experiments.emulators.discovery 127.0.1.1:0

Several processes that get the same changes under the same indices act as one discovery, at one address each.
Modes:

- "serve": polls are answered.
- "silent": polls are accepted, read and never answered.
- "refuse": all connections are reset and new ones refused.
- "busy": polls are answered by 503 after a delay.

Commands: `ReplaceList`, `ChangeList`, `SetDiscoveryMode`, `ResetUnanswered` and `GetDiscoveryStats` of
`scale_experiments.emulators.messages`.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections import deque
from collections.abc import Sequence
from dataclasses import asdict
from typing import cast, get_args
from urllib.parse import parse_qs, urlsplit

import orjson

from scale_experiments.emulators.codec import encode
from scale_experiments.emulators.control import process_usage, serve_commands
from scale_experiments.emulators.endpoint_registry import Entry, Registry
from scale_experiments.emulators.messages.discovery import (
    ChangeList,
    ConnectionsReset,
    DiscoveryMode,
    DiscoveryStats,
    GetDiscoveryStats,
    Listening,
    ReplaceList,
    ResetUnanswered,
    SetDiscoveryMode,
    Timestamp,
)

MAX_HEAD_BYTES = 8192  # of a poll
MAX_WAIT_MS = 60_000
BUCKET_SECONDS = 0.1  # of the counts of polls over time
MAX_BUCKETS = 6000
BACKLOG = 4096


DiscoveryCommand = ReplaceList | ChangeList | SetDiscoveryMode | ResetUnanswered | GetDiscoveryStats
COMMAND_TYPES: dict[str, type[DiscoveryCommand]] = {
    **{each.do: each for each in (ReplaceList, ChangeList, ResetUnanswered, GetDiscoveryStats)},
    **dict.fromkeys(get_args(DiscoveryMode), SetDiscoveryMode),
}


class PollError(ValueError):
    """A poll that is not of the protocol."""


def parse_poll(target: str) -> tuple[int | None, int]:
    """The index and the wait in milliseconds of a poll's target; raises PollError."""
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
    """One connection: a poll at a time, in the order in which they come."""

    __slots__ = ("after", "buffer", "close_after", "discovery", "is_unanswered", "timer", "transport")

    def __init__(self, discovery: DiscoveryEmulator) -> None:
        self.discovery = discovery
        self.buffer = b""
        self.after: int | None = None
        self.close_after = False
        self.is_unanswered = False  # a poll has no response yet
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.discovery.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Read a poll, unless one has no response yet."""
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
        """Respond to the poll; the next one may have come meanwhile."""
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
        """Forget the connection and its poll."""
        if self.timer is not None:
            self.timer.cancel()
        self.discovery.on_disconnected(self)


class DiscoveryEmulator:
    """One process of discovery: its list, its connections, its counts."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.mode: DiscoveryMode = "serve"
        self.busy_after_s = 2.0
        self.open: dict[PollConnection, None] = {}
        self.waiting: dict[PollConnection, None] = {}
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)
        self.polls = self.connections = self.answered = self.rejected = self.bytes_in = self.bytes_out = 0
        self.polls_over_time: deque[list[float]] = deque(maxlen=MAX_BUCKETS)  # [bucket's number, polls]
        self.notification_s = 0.0  # from the latest change until it was written to all that waited
        self.notified_polls = 0

    async def listen(self) -> None:
        """Accept connections; the port stays the same once chosen. Raises OSError."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: PollConnection(self), *self.address, backlog=BACKLOG, reuse_address=True
        )
        self.address = self.server.sockets[0].getsockname()

    def on_connected(self, connection: PollConnection) -> None:
        """Count a connection as open."""
        self.connections += 1
        self.open[connection] = None

    def on_disconnected(self, connection: PollConnection) -> None:
        """Forget a connection."""
        self.open.pop(connection, None)
        self.waiting.pop(connection, None)

    def on_poll(self, connection: PollConnection, wait_ms: int) -> None:
        """Respond to a poll, or let it wait for a change."""
        self.polls += 1
        bucket = time.monotonic() // BUCKET_SECONDS
        if self.polls_over_time and self.polls_over_time[-1][0] == bucket:
            self.polls_over_time[-1][1] += 1
        else:
            self.polls_over_time.append([bucket, 1])
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
        self.rejected += 1
        connection.write("503 Service Unavailable", b"")

    def change(self, index: int, endpoints: Sequence[Entry]) -> None:
        """Apply a change and respond to all that wait, unless polls fail now; raises ValueError."""
        started_at = time.monotonic()
        self.registry.change(index, endpoints)
        if self.mode != "serve":
            return
        self.notified_polls = len(self.waiting)
        for connection in list(self.waiting):
            self._respond(connection)
        self.notification_s = time.monotonic() - started_at

    async def set_mode(self, mode: DiscoveryMode) -> None:
        """Respond to polls, or fail them in one of the ways; raises OSError."""
        if mode == "serve" and self.mode == "refuse":
            await self.listen()
        self.mode = mode
        if mode == "refuse" and self.server is not None:
            self.server.close()
            for connection in list(self.open):
                connection.transport.abort()
        if mode != "serve":
            for connection in self.waiting:  # they never get a response
                if connection.timer is not None:
                    connection.timer.cancel()
            self.waiting.clear()

    def reset_unanswered(self) -> int:
        """Reset the connections whose polls had no response, as a machine that comes back does."""
        unanswered = [c for c in self.open if c.is_unanswered and c not in self.waiting]
        for connection in unanswered:
            connection.transport.abort()
        return len(unanswered)

    def stats(self) -> DiscoveryStats:
        """Counts since the start, and what the process has used."""
        return DiscoveryStats(
            polls=self.polls,
            connections=self.connections,
            answered=self.answered,
            rejected=self.rejected,
            bytes_in=self.bytes_in,
            bytes_out=self.bytes_out,
            notification_s=self.notification_s,
            notified_polls=self.notified_polls,
            index=self.registry.index,
            open=len(self.open),
            waiting=len(self.waiting),
            bucket_s=BUCKET_SECONDS,
            polls_over_time=list(self.polls_over_time),
            **asdict(process_usage()),
        )

    async def handle(self, command: DiscoveryCommand) -> object:
        """Carry out a command of the control channel; returns the reply."""
        match command:
            case GetDiscoveryStats():
                return self.stats()
            case ResetUnanswered():
                return ConnectionsReset(time.monotonic(), self.reset_unanswered())
            case ReplaceList():
                self.registry.replace(command.index, command.endpoints)
            case ChangeList():
                self.change(command.index, command.endpoints)
            case SetDiscoveryMode():
                if command.after_s is not None:
                    self.busy_after_s = command.after_s
                await self.set_mode(command.do)
        return Timestamp(time.monotonic())


async def main(listen: str) -> None:
    """Serve at an address until standard input ends; the first line on standard output tells the address."""
    discovery = DiscoveryEmulator()
    host, _, port = listen.rpartition(":")
    discovery.address = (host, int(port))
    await discovery.listen()
    listening = Listening("{}:{}".format(*discovery.address))
    print(orjson.dumps(encode(listening)).decode(), flush=True)
    await serve_commands(discovery.handle, COMMAND_TYPES)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
