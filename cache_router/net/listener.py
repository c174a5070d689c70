"""The listener that accepts clients."""

from __future__ import annotations

import asyncio
import logging
import socket
from contextlib import suppress

from cache_router.net.client_connection import ClientConnection
from cache_router.net.dispatcher import Dispatcher

READ_BUFFER_SIZE = 64 * 1024
ACCEPT_BACKLOG = 512
ACCEPT_RETRY_DELAY = 0.1  # after a failed accept, so that running out of descriptors does not spin
COMMAND_TIMEOUT = 2.0  # seconds for a whole command to come; a client is owed a word within 3 s
IDLE_TIMEOUT = 2.0  # seconds after which an idle connection may be closed
SINGLE_COMMAND_IDLE_TIMEOUT = 0.1  # the same for one that has asked once only, while there are many
FIRST_COMMAND_GRACE = 0.05  # seconds that a new client has to send its first command, however crowded it is
OVERDUE_CHECK_INTERVAL = 0.1  # seconds between looks for connections that are overdue
log = logging.getLogger(__name__)


class Listener:
    """Accepts clients, within a budget of descriptors."""

    def __init__(self, dispatcher: Dispatcher, max_connections: int) -> None:
        self.dispatcher = dispatcher
        self.max_connections = max_connections
        self.longest_client_timeout = max(c.client_timeout for c in dispatcher.settings.classes.values())
        self.connections: dict[ClientConnection, None] = {}
        # connections on which nothing is owed, each since when, longest first
        self.awaiting_command: dict[ClientConnection, float] = {}  # a first command, or the rest of one
        self.idle: dict[ClientConnection, float] = {}
        # for all: what is read is taken out at once
        self.read_buffer = memoryview(bytearray(READ_BUFFER_SIZE))
        self.changed = asyncio.Event()  # a connection has ended or fallen idle
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.tasks: list[asyncio.Task[None]] = []
        self.connection_pending = asyncio.Event()  # somebody connects
        self.draining = False  # connections close as soon as nothing is owed on them

    def bind(self, address: tuple[str, int]) -> None:
        """Take the address; whoever connects is still refused."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setblocking(False)
        self.socket.bind(address)

    def start(self) -> None:
        """Listen and accept."""
        self.socket.listen(ACCEPT_BACKLOG)
        self.tasks = [asyncio.create_task(self._accept_clients()), asyncio.create_task(self._close_overdue())]

    async def _accept_clients(self) -> None:
        """Accept until the listener ends, and then what the kernel has accepted by itself before that."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                client, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                if self.draining:
                    break
                await self._wait_for_pending()
                continue
            except OSError as e:
                log.warning("accept: %s", e)
                await asyncio.sleep(ACCEPT_RETRY_DELAY)
                continue
            client.setblocking(False)
            try:
                await loop.connect_accepted_socket(lambda: ClientConnection(self.dispatcher, self), client)
            except OSError as e:
                log.warning("accept: %s", e)
                client.close()
            await self._evict_excess()
        # at once: what the kernel accepts from here on would be reset with its request
        self.socket.close()
        self.changed.set()

    async def _wait_for_pending(self) -> None:
        """Wait until somebody connects, or the listener ends."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self.socket, self.connection_pending.set)
        try:
            await self.connection_pending.wait()
            self.connection_pending.clear()
        finally:
            loop.remove_reader(self.socket)

    async def _evict_excess(self) -> None:
        """Guards the descriptors: a client too many costs one that owes a command, or one that is idle.

        One that has just sent an error goes first, whatever it has sent behind it, and one that asked once
        and stays before one that asks again and again. While all have requests open, others wait outside.
        """
        while len(self.connections) > self.max_connections:
            self.changed.clear()
            now = asyncio.get_running_loop().time()
            erring = (c for c in self.connections if c.throttled and not c.replies and not c.closing)
            late = (
                c
                for c, since in self.awaiting_command.items()
                if now - since > FIRST_COMMAND_GRACE and not c.has_unread_input()
            )
            once = (c for c in self.idle if c.commands_received == 1 and not c.has_pending_io())
            idle = (c for c in self.idle if not c.has_pending_io())
            victim = next(erring, None) or next(late, None) or next(once, None) or next(idle, None)
            if victim is not None:
                self._evict(victim)
                continue
            with suppress(TimeoutError):
                async with asyncio.timeout(FIRST_COMMAND_GRACE):
                    await self.changed.wait()

    async def _close_overdue(self) -> None:
        """Guards against clients that say nothing, or half a command, and those that stay for good."""
        while True:
            await asyncio.sleep(OVERDUE_CHECK_INTERVAL)
            now = asyncio.get_running_loop().time()
            for connection, since in list(self.awaiting_command.items()):
                if now - since < COMMAND_TIMEOUT:
                    break
                if not connection.transport.is_closing():
                    connection.close_with_error("-ERR no whole command came")
            for connection, since in list(self.idle.items()):
                if now - since > self.longest_client_timeout and connection.has_unsent_output():
                    self._evict(connection)  # nobody waits for that answer any more
            surplus = len(self.connections) - self.max_connections // 2
            for connection, since in list(self.idle.items()):
                if surplus <= 0:
                    break
                longest = IDLE_TIMEOUT if connection.commands_received > 1 else SINGLE_COMMAND_IDLE_TIMEOUT
                if now - since > longest and not connection.has_pending_io():
                    self._evict(connection)
                    surplus -= 1

    def _evict(self, connection: ClientConnection) -> None:
        connection.transport.abort()
        self.on_closed(connection)

    def update_state(self, connection: ClientConnection) -> None:
        """Keep the books on a connection that may have begun to owe a command, or fallen idle."""
        # guards the listener: one that has ended would stay in the books, without a socket to look at
        if connection not in self.connections:
            return
        owing = bool(connection.replies) or connection.closing or connection.throttled
        awaited = not owing and (bool(connection.reader.buffer) or not connection.commands_received)
        now = asyncio.get_running_loop().time()
        for books, applies in ((self.awaiting_command, awaited), (self.idle, not owing and not awaited)):
            if not applies:
                books.pop(connection, None)
            elif connection not in books:
                books[connection] = now
                self.changed.set()

    def on_closed(self, connection: ClientConnection) -> None:
        """Note that a connection is closed."""
        self.connections.pop(connection, None)
        self.awaiting_command.pop(connection, None)
        self.idle.pop(connection, None)
        self.changed.set()

    async def stop(self, accept_time: float, drain_timeout: float) -> None:
        """Accept for a while longer, then no more; end when nothing is owed to any client."""
        await asyncio.sleep(accept_time)
        self.draining = True
        self.connection_pending.set()
        accept_task, overdue_task = self.tasks
        with suppress(TimeoutError):
            async with asyncio.timeout(drain_timeout):
                while self.connections or not accept_task.done():
                    self.changed.clear()
                    now = asyncio.get_running_loop().time()
                    new = (
                        c for c, since in self.awaiting_command.items() if now - since > FIRST_COMMAND_GRACE
                    )
                    for connection in [*self.idle, *new]:
                        connection.close_if_between_requests()
                    with suppress(TimeoutError):
                        async with asyncio.timeout(FIRST_COMMAND_GRACE):
                            await self.changed.wait()
        accept_task.cancel()
        overdue_task.cancel()
        self.socket.close()
