"""Emulated discovery: answers polls according to its mode, and executes commands of the control channel."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from typing import get_args

from scale_experiments.emulators.codec import NamedCommand, types_by_name
from scale_experiments.emulators.control import process_usage
from scale_experiments.emulators.discovery.endpoint_registry import EndpointRegistry, Entry
from scale_experiments.emulators.discovery.poll_connection import PollConnection
from scale_experiments.emulators.discovery.statistics import DiscoveryStatistics
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

LISTEN_BACKLOG = 4096  # limit of connections that have not been accepted yet
DEFAULT_ADDRESS = ("127.0.0.1", 0)  # listens on a free port
DEFAULT_BUSY_DELAY_S = 2.0  # delay of a rejection in the mode "busy"
DiscoveryCommand = ReplaceList | ChangeList | SetDiscoveryMode | ResetUnanswered | GetDiscoveryStats
COMMAND_TYPES: dict[str, type[NamedCommand] | type[SetDiscoveryMode]] = {
    **types_by_name(ReplaceList, ChangeList, ResetUnanswered, GetDiscoveryStats),
    **dict.fromkeys(get_args(DiscoveryMode), SetDiscoveryMode),  # the mode is the name of the command
}


class DiscoveryEmulator:
    """One process of discovery, with its endpoint list, connections and counters."""

    def __init__(self, address: tuple[str, int] = DEFAULT_ADDRESS) -> None:
        self.address = address  # has the actual port once discovery listens
        self._registry = EndpointRegistry()
        self._mode: DiscoveryMode = "serve"
        self._busy_delay_s = DEFAULT_BUSY_DELAY_S
        self._connections: dict[PollConnection, None] = {}
        self._waiting: dict[PollConnection, None] = {}  # connections whose poll waits for a change
        self._listener: asyncio.Server | None = None
        self._statistics = DiscoveryStatistics()

    async def handle(self, command: DiscoveryCommand) -> object:
        """Execute a command of the control channel and return the reply.

        Raises:
            OSError: Discovery cannot listen again after the mode "refuse".
            ValueError: The index of a change does not follow the current index.
        """
        match command:
            case GetDiscoveryStats():
                return self.stats()
            case ResetUnanswered():
                return ConnectionsReset(time.monotonic(), self.reset_unanswered())
            case ReplaceList():
                self.replace_list(command.index, command.endpoints)
            case ChangeList():
                self.change_list(command.index, command.endpoints)
            case SetDiscoveryMode():
                if command.after_s is not None:
                    self._busy_delay_s = command.after_s
                await self.set_mode(command.do)
        return Timestamp(time.monotonic())

    async def listen(self) -> None:
        """Start to accept connections; later calls reuse the port of the first one.

        Raises:
            OSError: The address cannot be used.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: PollConnection(self), *self.address, backlog=LISTEN_BACKLOG, reuse_address=True
        )
        self.address = self._listener.sockets[0].getsockname()

    def replace_list(self, index: int, endpoints: Sequence[Entry]) -> None:
        """Replace the endpoint list, without answering the polls that wait for a change."""
        self._registry.replace(index, endpoints)

    def change_list(self, index: int, endpoints: Sequence[Entry]) -> None:
        """Apply a change and, in the mode "serve", answer all polls that wait for one.

        Raises:
            ValueError: `index` does not follow the current index.
        """
        started_at = time.monotonic()
        self._registry.change(index, endpoints)
        if self._mode != "serve":
            return
        self._statistics.on_change(len(self._waiting))
        for connection in list(self._waiting):
            self._answer(connection)
        self._statistics.on_change_sent(time.monotonic() - started_at)

    async def set_mode(self, mode: DiscoveryMode) -> None:
        """Switch to a mode; all modes except "serve" drop the polls that wait for a change.

        Raises:
            OSError: Discovery cannot listen again after the mode "refuse".
        """
        if mode == "serve" and self._mode == "refuse":
            await self.listen()
        self._mode = mode
        if mode == "refuse" and self._listener is not None:
            self._listener.close()
            for connection in list(self._connections):
                connection.abort()
        if mode != "serve":
            self._drop_waiting_polls()

    def _drop_waiting_polls(self) -> None:
        """Drop all polls that wait for a change, and leave them without a response."""
        for connection in self._waiting:
            connection.cancel_timer()
        self._waiting.clear()

    def reset_unanswered(self) -> int:
        """Reset the connections whose polls were left without a response, as a restarted machine does.

        Returns the number of connections that were reset.
        """
        unanswered = [c for c in self._connections if c.is_unanswered and c not in self._waiting]
        for connection in unanswered:
            connection.abort()
        return len(unanswered)

    def stats(self) -> DiscoveryStats:
        """Return the counters since the start and the resource usage of the process."""
        return self._statistics.stats(
            index=self._registry.index,
            open_connections=len(self._connections),
            waiting=len(self._waiting),
            usage=process_usage(),
        )

    def on_connected(self, connection: PollConnection) -> None:
        """Add a connection."""
        self._statistics.on_connected()
        self._connections[connection] = None

    def on_disconnected(self, connection: PollConnection) -> None:
        """Remove a connection and its poll."""
        self._connections.pop(connection, None)
        self._waiting.pop(connection, None)

    def on_received(self, byte_count: int) -> None:
        """Count received bytes."""
        self._statistics.on_received(byte_count)

    def on_sent(self, byte_count: int) -> None:
        """Count sent bytes."""
        self._statistics.on_sent(byte_count)

    def on_poll(self, connection: PollConnection, wait_ms: int) -> None:
        """Answer, delay, reject or ignore a poll, depending on the mode and on the index in the poll."""
        self._statistics.on_poll(time.monotonic())
        if self._mode == "silent":
            return
        if self._mode == "busy":
            connection.start_timer(self._busy_delay_s, self._reject)
        elif wait_ms == 0 or self._registry.has_update(connection.after):
            self._answer(connection)
        else:
            self._waiting[connection] = None
            connection.start_timer(wait_ms / 1000, self._answer)

    def _answer(self, connection: PollConnection) -> None:
        self._waiting.pop(connection, None)
        self._statistics.on_answered()
        connection.respond("200 OK", self._registry.response_body(connection.after))

    def _reject(self, connection: PollConnection) -> None:
        self._statistics.on_rejected()
        connection.respond("503 Service Unavailable", b"")
