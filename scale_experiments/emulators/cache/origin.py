"""The origin: answers reads and writes over HTTP/1.1 after a delay, and limits concurrent requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast
from urllib.parse import unquote_to_bytes

from scale_experiments.emulators.messages.caches import OriginCounters

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
LISTEN_BACKLOG = 1024
BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
REJECTED_STATUS = b"503 Service Unavailable\r\nNot-Started: 1"  # Not-Started marks a request as safe to retry
WRITE_RECEIPT = b"receipt of "  # response body of a write, followed by the request id
# Callback that receives the key, the request id and whether the request is a write.
OnCompleted = Callable[[bytes, bytes, bool], None]


@dataclass(slots=True, frozen=True)
class OriginRequest:
    """Head of a read or a write request."""

    key: bytes
    request_id: bytes
    is_write: bool
    body_bytes: int


class Origin:
    """State shared by all connections to the origin: the number of requests in progress, and the counts.

    Each request takes `service_s` seconds. The origin rejects a request while `max_concurrent` others are in
    progress. `on_completed` is called for each completed request, before its response is sent. `value_for`
    returns the value in the response to the read with a given request id.
    """

    def __init__(
        self,
        on_completed: OnCompleted,
        value_for: Callable[[bytes], bytes],
        service_s: float,
        max_concurrent: int,
    ) -> None:
        self.service_s = service_s
        self._on_completed = on_completed
        self._value_for = value_for
        self._max_concurrent = max_concurrent
        self._concurrent_requests = 0
        self._requests = 0
        self._rejected = 0
        self._accepted_connections = 0
        self._open_connections = 0
        self._max_open_connections = 0
        self._listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        """Accept connections and return the host and the port; a `port` of 0 selects a free one.

        Raises:
            OSError: The address cannot be used.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: OriginConnection(self), host, port, backlog=LISTEN_BACKLOG
        )
        address: tuple[str, int] = self._listener.sockets[0].getsockname()
        return address

    def on_connected(self) -> None:
        """Count a new connection."""
        self._accepted_connections += 1
        self._open_connections += 1
        self._max_open_connections = max(self._max_open_connections, self._open_connections)

    def on_disconnected(self) -> None:
        """Count a connection as closed."""
        self._open_connections -= 1

    def admit(self) -> bool:
        """Count a request and return whether it is admitted.

        An admitted request is in progress until `complete` or `on_request_lost` is called for it.
        """
        self._requests += 1
        if self._concurrent_requests >= self._max_concurrent:
            self._rejected += 1
            return False
        self._concurrent_requests += 1
        return True

    def complete(self, request: OriginRequest) -> bytes:
        """End an admitted request, notify the cache servers of it, and return the body of its response."""
        self._concurrent_requests -= 1
        self._on_completed(request.key, request.request_id, request.is_write)
        if request.is_write:
            return WRITE_RECEIPT + request.request_id
        return self._value_for(request.request_id)

    def on_request_lost(self) -> None:
        """End an admitted request whose connection was closed before the response."""
        self._concurrent_requests -= 1

    def counters(self) -> OriginCounters:
        """Return the counts since the start."""
        return OriginCounters(
            requests=self._requests,
            rejected=self._rejected,
            connections=self._accepted_connections,
            open=self._open_connections,
            max_open=self._max_open_connections,
        )


def _parse_head(head: bytes) -> OriginRequest | None:
    """Parse a head without its terminating empty line; return None if it is not a request of the protocol."""
    request_line, *lines = head.split(b"\r\n")
    headers = {n.strip().lower(): v.strip() for n, _, v in (line.partition(b":") for line in lines)}
    try:
        length = int(headers.get(b"content-length", b"0"))
        method, target, _ = request_line.split(b" ")
    except ValueError:
        return None
    if not 0 <= length <= MAX_BODY_BYTES or method not in (b"GET", b"PUT") or b"request-id" not in headers:
        return None
    key = unquote_to_bytes(target.removeprefix(b"/"))
    return OriginRequest(key, headers[b"request-id"], method == b"PUT", length)


class OriginConnection(asyncio.Protocol):
    """One connection to the origin, with one request in progress at a time."""

    def __init__(self, origin: Origin) -> None:
        self._origin = origin
        self._buffer = b""
        self._response_timer: asyncio.TimerHandle | None = None  # set while a request is in progress

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._origin.on_connected()

    def data_received(self, data: bytes) -> None:
        """Buffer the data, and start the next request unless one is in progress."""
        self._buffer += data
        if self._response_timer is None:
            self._read_request()

    def _read_request(self) -> None:
        """Start the next buffered request if it is complete."""
        head, separator, rest = self._buffer.partition(b"\r\n\r\n")
        if not separator:
            if len(self._buffer) > MAX_HEAD_BYTES:
                self._transport.abort()
            return
        request = _parse_head(head)
        if request is None:
            self._transport.write(BAD_REQUEST)
            self._transport.close()
            return
        if len(rest) < request.body_bytes:
            return
        self._buffer = rest[request.body_bytes :]
        self._start_request(request)

    def _start_request(self, request: OriginRequest) -> None:
        if not self._origin.admit():
            self._send_response(REJECTED_STATUS, b"")
            return
        loop = asyncio.get_running_loop()
        self._response_timer = loop.call_later(self._origin.service_s, self._complete_request, request)

    def _complete_request(self, request: OriginRequest) -> None:
        self._response_timer = None
        self._send_response(b"200 OK", self._origin.complete(request))

    def _send_response(self, status: bytes, body: bytes) -> None:
        self._transport.write(b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))
        if self._buffer:
            asyncio.get_running_loop().call_soon(self._read_request)

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the connection as closed, and cancel the request in progress."""
        self._origin.on_disconnected()
        if self._response_timer is not None:
            self._response_timer.cancel()
            self._origin.on_request_lost()
