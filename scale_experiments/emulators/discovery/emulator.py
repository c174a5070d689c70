"""One process of discovery: its list, its connections and its counts."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Sequence
from dataclasses import asdict
from typing import get_args

from scale_experiments.emulators.control import process_usage
from scale_experiments.emulators.discovery.endpoint_registry import Entry, Registry
from scale_experiments.emulators.discovery.poll_connection import PollConnection
from scale_experiments.emulators.messages.discovery import (
    ChangeList,
    ConnectionsReset,
    DiscoveryMode,
    DiscoveryStats,
    GetDiscoveryStats,
    ReplaceList,
    ResetUnanswered,
    SetDiscoveryMode,
    Timestamp,
)

BUCKET_SECONDS = 0.1  # of the counts of polls over time
MAX_BUCKETS = 6000
BACKLOG = 4096
DiscoveryCommand = ReplaceList | ChangeList | SetDiscoveryMode | ResetUnanswered | GetDiscoveryStats
COMMAND_TYPES: dict[str, type[DiscoveryCommand]] = {
    **{each.do: each for each in (ReplaceList, ChangeList, ResetUnanswered, GetDiscoveryStats)},
    **dict.fromkeys(get_args(DiscoveryMode), SetDiscoveryMode),
}


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
