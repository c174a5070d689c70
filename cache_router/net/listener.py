"""The listener that accepts clients."""

from __future__ import annotations

import asyncio
import logging
import socket
from contextlib import suppress

from cache_router.net.client_connection import ClientConnection
from cache_router.net.client_connection_table import ClientConnectionTable
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.eviction import Evictor

ACCEPT_BACKLOG = 512  # connections that the kernel accepts ahead of this process
# seconds after a failed accept: without descriptors it fails again at once, and retries would take the core
ACCEPT_RETRY_DELAY = 0.1
log = logging.getLogger(__name__)


class Listener:
    """Accepts clients within a budget of connections, and drains them on shutdown."""

    def __init__(self, dispatcher: Dispatcher, max_connections: int) -> None:
        """Create a listener that is not bound yet; clients may use `max_connections` descriptors."""
        self.dispatcher = dispatcher
        self.connections = ClientConnectionTable()
        longest_client_timeout = max(c.client_timeout for c in dispatcher.settings.classes.values())
        self.evictor = Evictor(self.connections, max_connections, longest_client_timeout)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._connection_pending = asyncio.Event()  # or draining has started
        self._accept_task: asyncio.Task[None]
        self._overdue_task: asyncio.Task[None]

    def bind(self, address: tuple[str, int]) -> None:
        """Bind the address; connections are refused until `start`.

        Raises OSError if the address can't be bound, and ValueError if its host can't be encoded.
        """
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setblocking(False)
        self.socket.bind(address)

    def start(self) -> None:
        """Listen and accept; an event loop has to run."""
        self.socket.listen(ACCEPT_BACKLOG)
        self._accept_task = asyncio.create_task(self._accept_clients())
        self._overdue_task = asyncio.create_task(self.evictor.close_overdue_periodically())

    async def _accept_clients(self) -> None:
        """Accept until draining starts, and then what the kernel had accepted by itself before that."""
        while True:
            try:
                client, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                if self.connections.draining:
                    break
                await self._wait_for_pending_connection()
                continue
            except OSError as e:
                log.warning("accept: %s", e)
                await asyncio.sleep(ACCEPT_RETRY_DELAY)
                continue
            await self._open_connection(client)
            await self.evictor.evict_excess()
        # at once: what the kernel accepts from here on would be reset together with its request
        self.socket.close()
        self.connections.notify()

    async def _open_connection(self, client: socket.socket) -> None:
        """Hand an accepted socket to a connection of its own."""
        client.setblocking(False)
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: ClientConnection(self.dispatcher, self.connections), client
            )
        except OSError as e:
            log.warning("accept: %s", e)
            client.close()

    async def _wait_for_pending_connection(self) -> None:
        """Wait until a client connects or draining starts."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self.socket, self._connection_pending.set)
        try:
            await self._connection_pending.wait()
            self._connection_pending.clear()
        finally:
            loop.remove_reader(self.socket)

    async def stop(self, accept_time: float, drain_timeout: float) -> None:
        """Shut down gracefully: accept for `accept_time` seconds more, then drain.

        Returns when every connection has closed, or `drain_timeout` seconds after draining started. `start`
        must have been called.
        """
        await asyncio.sleep(accept_time)
        self.connections.start_draining()
        self._connection_pending.set()
        with suppress(TimeoutError):
            async with asyncio.timeout(drain_timeout):
                await self._drain()
        self._accept_task.cancel()
        self._overdue_task.cancel()
        self.socket.close()

    async def _drain(self) -> None:
        """Close connections as they fall idle, until all are closed and none is accepted any more."""
        connections = self.connections
        while connections or not self._accept_task.done():
            for connection in [*connections.idle, *connections.awaiting_beyond_grace()]:
                connection.close_if_between_requests()
            await connections.wait_for_change()
