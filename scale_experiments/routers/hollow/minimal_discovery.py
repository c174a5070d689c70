"""A watch that puts the same bytes on the wire as the router's own, with as little work as possible."""

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
LIST_START = re.compile(rb'{"index":(\d+),"snapshot":(true|false),"endpoints":\[(.?)')
# replaces the endpoints of a response that is not empty
PLACEHOLDER_ENDPOINTS = [NetworkEndpoint(Endpoint("-"), "127.0.0.1:1")]


class MinimalPoll(asyncio.Protocol):
    """The connection of one poll; completes the future `response` with the response's body or an error.

    The error is that of the connection, or EndpointListError for a response that cannot be used.
    """

    def __init__(self, request: bytes, response: asyncio.Future[bytes]) -> None:
        self._request = request
        self._response = response
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the poll."""
        cast(asyncio.Transport, transport).write(self._request)

    def data_received(self, data: bytes) -> None:
        """Buffer the data; finish if the response is complete, or fail if it cannot be used."""
        self._buffer += data
        head = RESPONSE_HEAD.match(self._buffer)
        if head is not None and len(self._buffer) >= head.end() + int(head[2]):
            if head[1] == b"200":
                self._finish(self._buffer[head.end() :])
            else:
                self._fail(EndpointListError(f"response has status {head[1].decode()}"))
        elif len(self._buffer) > MAX_LIST_SIZE:
            self._fail(EndpointListError(f"response is longer than {MAX_LIST_SIZE} bytes"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail, unless the response has been read."""
        self._fail(exc or ConnectionResetError("connection closed before the end of the response"))

    def _finish(self, body: bytes) -> None:
        if not self._response.done():
            self._response.set_result(body)

    def _fail(self, error: Exception) -> None:
        if not self._response.done():
            self._response.set_exception(error)


class MinimalDiscovery(Discovery):
    """The router's watch with the same requests at the same times; only the start of a response is parsed."""

    async def _poll(self) -> EndpointListMessage:
        poll = self.next_poll()
        request = f"GET {poll.target} HTTP/1.1\r\nHost: {self.address}\r\nConnection: close\r\n\r\n".encode()
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(poll.timeout):
            response: asyncio.Future[bytes] = loop.create_future()
            transport, _ = await loop.create_connection(
                lambda: MinimalPoll(request, response), *parse_address(self.address)
            )
            try:
                body = await response
            finally:
                transport.close()
        # the list is not decoded, because that would cost as much as storing it
        start = LIST_START.match(body)
        if start is None:
            raise EndpointListError(f"response does not begin with an endpoint list: {body[:40]!r}")
        endpoints = PLACEHOLDER_ENDPOINTS if start[3] == b"{" else []
        return EndpointListMessage(int(start[1]), start[2] == b"true", endpoints)
