"""Addresses on loopback, and a listening socket that can be closed and opened again."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

ROUTER_PORT, CACHE_PORT, ORIGIN_PORT, DISCOVERY_PORT = 7000, 6379, 8080, 8500
STREAM_LIMIT = 1 << 20  # bytes that a connection buffers, more than the largest message
SECOND_OCTET_COUNT, THIRD_OCTET_COUNT = 200, 250  # number of values used for each octet

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@dataclass(slots=True, frozen=True)
class Network:
    """Addresses in 127.0.0.0/8 that depend on the process id, so that processes can run in parallel."""

    process_id: int

    def host(self, number: int) -> str:
        """Return the IP address of a host; `number` is from 1 to 254."""
        second = 16 + self.process_id % SECOND_OCTET_COUNT
        third = self.process_id // SECOND_OCTET_COUNT % THIRD_OCTET_COUNT
        return f"127.{second}.{third}.{number}"

    @property
    def router(self) -> tuple[str, int]:
        """Address on which the router listens."""
        return self.host(1), ROUTER_PORT

    def cache(self, index: int) -> tuple[str, int]:
        """Return the address on which a cache server listens."""
        return self.host(10 + index), CACHE_PORT

    @property
    def origin(self) -> tuple[str, int]:
        """Address on which the origin listens."""
        return self.host(100), ORIGIN_PORT

    def discovery(self, index: int) -> tuple[str, int]:
        """Return one of the two addresses on which discovery listens; `index` is 0 or 1."""
        return self.host(200 + index), DISCOVERY_PORT


class Listener:
    """A listening socket; closing it also resets the established connections."""

    def __init__(self, address: tuple[str, int], handler: ConnectionHandler) -> None:
        """Create a closed listener; `handler` serves one connection, and may raise OSError if it breaks."""
        self.address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Start to accept connections."""
        if self._server is None:
            self._server = await asyncio.start_server(self._serve, *self.address, limit=STREAM_LIMIT)

    def close(self) -> None:
        """Stop accepting connections, and reset the open ones."""
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
