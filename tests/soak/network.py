"""Addresses on loopback, and a listening socket that can be closed and opened again."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

ROUTER_PORT, CACHE_PORT, ORIGIN_PORT, DISCOVERY_PORT = 7000, 6379, 8080, 8500
SECOND_OCTET_COUNT, THIRD_OCTET_COUNT = 200, 250  # how many of them are used

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@dataclass(slots=True, frozen=True)
class Network:
    """The addresses, in 127.0.0.0/8, of the runs of one process: processes may run side by side."""

    process_id: int

    def host(self, number: int) -> str:
        """The address of a host, from 1 to 254."""
        second = 16 + self.process_id % SECOND_OCTET_COUNT
        third = self.process_id // SECOND_OCTET_COUNT % THIRD_OCTET_COUNT
        return f"127.{second}.{third}.{number}"

    @property
    def router(self) -> tuple[str, int]:
        """Where the router listens."""
        return self.host(1), ROUTER_PORT

    def cache(self, index: int) -> tuple[str, int]:
        """Where a cache server listens."""
        return self.host(10 + index), CACHE_PORT

    @property
    def origin(self) -> tuple[str, int]:
        """Where the origin listens."""
        return self.host(100), ORIGIN_PORT

    def discovery(self, index: int) -> tuple[str, int]:
        """Where the first or the second discovery listens."""
        return self.host(200 + index), DISCOVERY_PORT


class Listener:
    """Accepts connections while it is open; closing it resets those that are established."""

    def __init__(self, address: tuple[str, int], handler: ConnectionHandler) -> None:
        """Prepare a listener; `handler` serves one connection, and may raise OSError when it breaks."""
        self.address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Accept connections from now on."""
        if self._server is None:
            self._server = await asyncio.start_server(self._serve, *self.address)

    def close(self) -> None:
        """Refuse connections from now on, and reset those that are open."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            with suppress(OSError, asyncio.IncompleteReadError):
                await self._handler(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.transport.abort()
