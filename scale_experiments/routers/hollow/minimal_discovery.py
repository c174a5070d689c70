"""A watch that makes and reads a poll with the least work."""

from __future__ import annotations

import asyncio
import re
from typing import cast

from cache_router.endpoint import Endpoint
from cache_router.net.address import parse_address
from cache_router.net.discovery import MAX_LIST_SIZE, Discovery
from cache_router.net.endpoint_list_reader import EndpointListError, EndpointListMessage
from cache_router.net.endpoint_table import NetworkEndpoint

RESPONSE_HEAD = re.compile(
    rb"HTTP/1.1 (\d+) .*?\r\ncontent-length: *(\d+)\r\n.*?\r\n\r\n", re.IGNORECASE | re.DOTALL
)
# in place of the endpoints of a response that has any
PLACEHOLDER_ENDPOINTS = [NetworkEndpoint(Endpoint("-"), "127.0.0.1:1")]


class MinimalPoll(asyncio.Protocol):
    """One poll and its response."""

    def __init__(self, request: bytes, done: asyncio.Future[bytes]) -> None:
        self.request = request
        self.done = done
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the poll."""
        cast(asyncio.Transport, transport).write(self.request)

    def data_received(self, data: bytes) -> None:
        """Finish once the response is whole, or fail if it can't be used."""
        self.buffer += data
        head = RESPONSE_HEAD.match(self.buffer)
        if head is not None and len(self.buffer) >= head.end() + int(head[2]):
            if head[1] == b"200":
                self._finish(self.buffer[head.end() :])
            else:
                self._fail(EndpointListError(f"answered {head[1].decode()}"))
        elif len(self.buffer) > MAX_LIST_SIZE:
            self._fail(EndpointListError("too long"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail, unless the response was whole."""
        self._fail(exc or ConnectionResetError("ended without an answer"))

    def _finish(self, body: bytes) -> None:
        if not self.done.done():
            self.done.set_result(body)

    def _fail(self, error: Exception) -> None:
        if not self.done.done():
            self.done.set_exception(error)


class MinimalDiscovery(Discovery):
    """The real watch with a poll of its own: the same request and times, but only the index is read."""

    async def _poll(self) -> EndpointListMessage:
        poll = self.next_poll()
        request = f"GET {poll.target} HTTP/1.1\r\nHost: {self.address}\r\nConnection: close\r\n\r\n".encode()
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(poll.timeout):
            done: asyncio.Future[bytes] = loop.create_future()
            transport, _ = await loop.create_connection(
                lambda: MinimalPoll(request, done), *parse_address(self.address)
            )
            try:
                body = await done
            finally:
                transport.close()
        # decoding all of a list would cost as much as storing it
        index = re.match(rb'{"index":(\d+),"snapshot":(true|false),"endpoints":\[(.?)', body)
        if index is None:
            raise EndpointListError("no list")
        endpoints = PLACEHOLDER_ENDPOINTS if index[3] == b"{" else []
        return EndpointListMessage(int(index[1]), index[2] == b"true", endpoints)
