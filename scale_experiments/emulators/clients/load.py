"""The load of clients on one router: schedules requests and assigns them to connections."""

from __future__ import annotations

import asyncio
import math
from collections import deque

import numpy as np

from scale_experiments.emulators.address import parse_address
from scale_experiments.emulators.clients.connection import ClientConnection, ClientRequest
from scale_experiments.emulators.clients.request_sequence import RequestSequence
from scale_experiments.emulators.clients.statistics import LoadStatistics
from scale_experiments.emulators.messages.clients import NOT_CONNECTED, NOT_SENT, StartClients

MAX_CONNECTIONS_PER_ROUTER = 4000


class RouterLoad:
    """The load on the router at `address` (host:port)."""

    def __init__(self, address: str, command: StartClients, seed: int) -> None:
        self.statistics = LoadStatistics()
        self._address = parse_address(address)
        self._deadline_s = command.deadline_s
        self._rate_per_s = command.rate_per_s
        self._random = np.random.default_rng(seed)  # determines the requests and the times between them
        self._request_sequence = RequestSequence(command, seed, self._random)
        self._idle_connections: deque[ClientConnection] = deque()
        self._pending_connects: set[asyncio.Task[None]] = set()
        self._is_paused = False

    @property
    def deadline_s(self) -> float:
        """Seconds from when a request is due until its deadline."""
        return self._deadline_s

    async def run(self) -> None:
        """Send requests at random times, at the rate of the command, until paused.

        A late request is sent at once, and its latency is measured from when it was due.
        """
        loop = asyncio.get_running_loop()
        due_at = loop.time()
        for encoded_request in self._request_sequence:
            due_at += -math.log(1.0 - self._random.random()) / self._rate_per_s  # Poisson process
            if (remaining_s := due_at - loop.time()) > 0:
                await asyncio.sleep(remaining_s)
            if self._is_paused:
                return
            self.statistics.on_request()
            self.send(ClientRequest(encoded_request, due_at))

    def pause(self) -> None:
        """Stop sending new requests."""
        self._is_paused = True

    def send(self, request: ClientRequest) -> None:
        """Send a request on the most recently used idle connection, or on a new one.

        At `MAX_CONNECTIONS_PER_ROUTER` connections, the request is counted as not sent.
        """
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if not connection.is_closing:
                connection.send(request)
                return
        if self.statistics.open_connections + len(self._pending_connects) >= MAX_CONNECTIONS_PER_ROUTER:
            self.on_outcome(NOT_SENT, request)
            return
        task = asyncio.create_task(self._connect(request))
        self._pending_connects.add(task)
        task.add_done_callback(self._pending_connects.discard)

    async def _connect(self, request: ClientRequest) -> None:
        try:
            async with asyncio.timeout(self._deadline_s):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: ClientConnection(self), *self._address
                )
        except OSError:  # includes TimeoutError
            self.on_outcome(NOT_CONNECTED, request)
            return
        connection.send(request)

    def retry(self, request: ClientRequest) -> None:
        """Send a request again on another connection."""
        request.mark_retried()
        self.statistics.on_retry()
        self.send(request)

    def on_connected(self) -> None:
        """Count a new connection."""
        self.statistics.on_connected()

    def on_disconnected(self, connection: ClientConnection) -> None:
        """Count a connection as closed, and stop using it."""
        self.statistics.on_disconnected()
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)

    def on_idle(self, connection: ClientConnection) -> None:
        """Make a connection available for the next request."""
        self._idle_connections.append(connection)

    def on_outcome(self, outcome: str, request: ClientRequest) -> None:
        """Count the outcome of a request and, if it was served, record its latency."""
        latency_s = asyncio.get_running_loop().time() - request.due_at
        self.statistics.on_outcome(outcome, latency_s)
