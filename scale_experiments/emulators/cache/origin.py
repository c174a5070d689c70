"""The origin: slow, over HTTP/1.1, with a capacity of so many fetches at a time.

It notifies the caches of what was fetched or written.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast
from urllib.parse import unquote_to_bytes

from scale_experiments.emulators.messages.caches import OriginCounters

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
BACKLOG = 1024
BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
# called with the key, the request's id and whether it was a write
OnFetched = Callable[[bytes, bytes, bool], None]


class Origin:
    """What all connections to the origin share: seconds of a fetch, how many at a time, and the counts."""

    def __init__(self, on_fetched: OnFetched, value: bytes, service_s: float, max_concurrent: int) -> None:
        self.on_fetched = on_fetched
        self.value = value
        self.service_s = service_s
        self.max_concurrent = max_concurrent
        self.concurrent = self.requests = self.rejected = self.connections = self.open = self.max_open = 0
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        """Accept connections; returns the address, whose port is a free one for 0. Raises OSError."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: OriginConnection(self), host, port, backlog=BACKLOG)
        address: tuple[str, int] = self.server.sockets[0].getsockname()
        return address

    def counters(self) -> OriginCounters:
        """Counts since the start."""
        return OriginCounters(
            requests=self.requests,
            rejected=self.rejected,
            connections=self.connections,
            open=self.open,
            max_open=self.max_open,
        )


@dataclass(slots=True, frozen=True)
class OriginRequest:
    """The head of a fetch or a write."""

    key: bytes
    request_id: bytes
    is_write: bool
    body_bytes: int


def _parse_head(head: bytes) -> OriginRequest | None:
    """The request of a head without its last empty line; None where it is not of the protocol."""
    first, *lines = head.split(b"\r\n")
    fields = {n.strip().lower(): v.strip() for n, _, v in (line.partition(b":") for line in lines)}
    try:
        length = int(fields.get(b"content-length", b"0"))
        method, target, _ = first.split(b" ")
    except ValueError:
        return None
    if not 0 <= length <= MAX_BODY_BYTES or method not in (b"GET", b"PUT") or b"request-id" not in fields:
        return None
    key = unquote_to_bytes(target.removeprefix(b"/"))
    return OriginRequest(key, fields[b"request-id"], method == b"PUT", length)


class OriginConnection(asyncio.Protocol):
    """One connection to the origin, which carries a request at a time."""

    def __init__(self, origin: Origin) -> None:
        self.origin = origin
        self.buffer = b""
        self.response_timer: asyncio.TimerHandle | None = None  # of the request in flight

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.origin.connections += 1
        self.origin.open += 1
        self.origin.max_open = max(self.origin.max_open, self.origin.open)

    def data_received(self, data: bytes) -> None:
        """Read a request, unless one is in flight."""
        self.buffer += data
        if self.response_timer is None:
            self._read_request()

    def _read_request(self) -> None:
        """Start the next request of the buffer, if all of it is there."""
        head, found, rest = self.buffer.partition(b"\r\n\r\n")
        if not found:
            if len(self.buffer) > MAX_HEAD_BYTES:
                self.transport.abort()
            return
        request = _parse_head(head)
        if request is None:
            self.transport.write(BAD_REQUEST)
            self.transport.close()
            return
        if len(rest) < request.body_bytes:
            return
        self.buffer = rest[request.body_bytes :]
        self._start(request)

    def _start(self, request: OriginRequest) -> None:
        origin = self.origin
        origin.requests += 1
        if origin.concurrent >= origin.max_concurrent:
            origin.rejected += 1
            self._send_response(b"503 Service Unavailable\r\nNot-Started: 1", b"")
            return
        origin.concurrent += 1
        loop = asyncio.get_running_loop()
        self.response_timer = loop.call_later(origin.service_s, self._complete, request)

    def _complete(self, request: OriginRequest) -> None:
        self.response_timer = None
        self.origin.concurrent -= 1
        self.origin.on_fetched(request.key, request.request_id, request.is_write)
        self._send_response(b"200 OK", b"receipt" if request.is_write else self.origin.value)

    def _send_response(self, status: bytes, body: bytes) -> None:
        self.transport.write(b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))
        if self.buffer:
            asyncio.get_running_loop().call_soon(self._read_request)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection and the request in flight."""
        self.origin.open -= 1
        if self.response_timer is not None:
            self.response_timer.cancel()
            self.origin.concurrent -= 1
