"""The listener that accepts clients."""

from __future__ import annotations

import asyncio
import logging
import socket
from contextlib import suppress

from cache_router.net.accepting import AcceptedBatch, AcceptedClient, accept_batch
from cache_router.net.address import Address
from cache_router.net.client_connection import ClientConnection
from cache_router.net.client_connection_table import ClientConnectionTable, OpenConnection
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.eviction import Evictor
from cache_router.net.fair_selector import LoopTurns, UnmeasuredTurns

ACCEPT_BACKLOG = 512  # connections that the kernel queues until they are accepted
MAX_ACCEPTS_PER_TURN = 32
MAX_EXCESS = 8  # connections above the budget, until others are evicted; taken from the reserve
# Range of the delay in seconds after an accept that failed for lack of resources. It doubles with each
# failure: immediate retries would use a whole core.
MIN_ACCEPT_RETRY_DELAY = 0.01
MAX_ACCEPT_RETRY_DELAY = 0.1
log = logging.getLogger(__name__)


class Listener:
    """Accepts clients within a budget of connections, and drains them on shutdown."""

    def __init__(self, dispatcher: Dispatcher, max_connections: int, turns: LoopTurns | None = None) -> None:
        """Create a listener that is not bound yet; clients may use `max_connections` descriptors.

        `turns` measures the turns of the event loop, if it has a `FairSelector`.
        """
        self._dispatcher = dispatcher
        self._max_connections = max_connections
        self._turns = turns or UnmeasuredTurns()
        # Earliest time on the monotonic clock at which the kernel can have queued the next client.
        self._queued_since: float | None = None
        self._opening: list[asyncio.Task[None]] = []  # create the connections of accepted clients
        self._connections = ClientConnectionTable(turns, dispatcher.statistics)
        longest_client_timeout = max(c.client_timeout for c in dispatcher.settings.classes.values())
        self._evictor = Evictor(self._connections, max_connections, longest_client_timeout)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._connection_pending = asyncio.Event()  # set when a client connects or draining starts
        self._accept_task: asyncio.Task[None]
        self._overdue_task: asyncio.Task[None]

    @property
    def address(self) -> Address:
        """The bound address.

        Raises:
            OSError: The listening socket is closed.
        """
        return Address(*self._socket.getsockname())

    @property
    def is_closed(self) -> bool:
        """Whether the listening socket is closed, so that the kernel refuses further clients."""
        return self._socket.fileno() < 0

    @property
    def is_draining(self) -> bool:
        """Whether connections close as soon as no reply is pending on them."""
        return self._connections.draining

    def open_connections(self) -> list[OpenConnection]:
        """Return the open connections in order of acceptance."""
        return list(self._connections)

    def bind(self, address: tuple[str, int]) -> None:
        """Bind the address; connections are refused until `start`.

        Raises:
            OSError: The address can't be bound.
            ValueError: The host can't be encoded.
        """
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind(address)

    def start(self) -> None:
        """Listen and accept; an event loop must be running."""
        self._socket.listen(ACCEPT_BACKLOG)
        self._accept_task = asyncio.create_task(self._accept_clients())
        self._overdue_task = asyncio.create_task(self._evictor.close_overdue_periodically())

    async def _accept_clients(self) -> None:
        """Accept clients until draining has started and the kernel's backlog is empty."""
        retry_delay = MIN_ACCEPT_RETRY_DELAY
        while True:
            batch = self._accept_batch()
            if batch.is_backlog_empty and not self._opening:
                if self._connections.draining:
                    break
                await self._wait_for_pending_connection()
            await self._finish_opening()
            if batch.error is None:
                retry_delay = MIN_ACCEPT_RETRY_DELAY
            else:
                self._dispatcher.statistics.count_failed_accept(batch.error)
                log.warning("accepting on %s failed: %s", self.address, batch.error)
                await asyncio.sleep(retry_delay)
                retry_delay = min(2 * retry_delay, MAX_ACCEPT_RETRY_DELAY)
        # Close now: a connection that the kernel queues later would be reset, and its request lost.
        self._socket.close()
        self._connections.notify_change()

    def _accept_batch(self) -> AcceptedBatch:
        """Accept queued clients, and start to create their connections."""
        # A few clients more than the budget: the evictor then closes other connections.
        room = self._max_connections + MAX_EXCESS - len(self._connections)
        batch = accept_batch(self._socket, min(MAX_ACCEPTS_PER_TURN, max(1, room)))
        for error in batch.client_errors:
            self._dispatcher.statistics.count_failed_accept(error)
        self._opening += [asyncio.create_task(self._open_connection(client)) for client in batch.clients]
        return batch

    async def _finish_opening(self) -> None:
        """Wait until accepted clients have their connections, and evict others if there are too many."""
        try:
            await asyncio.gather(*self._opening)
            await self._evictor.evict_excess()
        except Exception:
            # The listener continues: other clients are still to be accepted.
            log.exception("evicting connections failed")
        finally:
            self._opening.clear()

    async def _open_connection(self, client: AcceptedClient) -> None:
        """Create a client's connection on an accepted socket."""
        try:
            client.socket.setblocking(False)
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: ClientConnection(self._dispatcher, self._connections, self._queued_since),
                client.socket,
            )
        except OSError as e:
            log.warning("accepting client %s failed: %s", client.address, e)
            client.socket.close()
        except Exception:
            log.exception("accepting client %s failed", client.address)
            client.socket.close()

    async def _wait_for_pending_connection(self) -> None:
        """Wait until a client connects or draining starts."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._on_connection_pending)
        try:
            await self._connection_pending.wait()
            self._connection_pending.clear()
        finally:
            loop.remove_reader(self._socket)

    def _on_connection_pending(self) -> None:
        """Accept clients in the turn of the event loop in which they are found, and wake the task."""
        if not self._connection_pending.is_set():
            self._queued_since = self._turns.ready_since(self._socket.fileno())
            self._accept_batch()
            self._connection_pending.set()

    async def stop(self, accept_time: float, drain_timeout: float) -> None:
        """Shut down gracefully: accept for `accept_time` more seconds, then drain.

        Returns when every connection has closed, or `drain_timeout` seconds after draining started. `start`
        must have been called.
        """
        await asyncio.sleep(accept_time)
        self._connections.start_draining()
        self._connection_pending.set()
        with suppress(TimeoutError):
            async with asyncio.timeout(drain_timeout):
                await self._drain()
        self._accept_task.cancel()
        self._overdue_task.cancel()
        self._socket.close()

    async def _drain(self) -> None:
        """Close connections as they become idle, until all are closed and no more clients are accepted."""
        connections = self._connections
        while connections or not self._accept_task.done():
            for connection in [*connections.idle_since, *connections.awaiting_beyond_grace()]:
                connection.close_if_between_requests()
            await connections.wait_for_change()
