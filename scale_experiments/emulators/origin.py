"""The origin: HTTP/1.1, slow, with room for so many fetches at a time. It tells caches what was fetched."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from urllib.parse import unquote_to_bytes

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
OnFetched = Callable[[bytes, bytes, bool], None]  # key, request's id, whether it was a write


class Origin:
    """What all its connections share: its pace, its limit and its counts."""

    def __init__(self, on_fetched: OnFetched, value: bytes, service_s: float, max_concurrent: int) -> None:
        self.on_fetched = on_fetched
        self.value = value
        self.service_s = service_s
        self.max_concurrent = max_concurrent
        self.concurrent = self.requests = self.turned_away = self.connections = self.open = self.most_open = 0
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        """Begin to accept; where."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: OriginConnection(self), host, port, backlog=1024)
        address: tuple[str, int] = self.server.sockets[0].getsockname()
        return address

    def stats(self) -> dict[str, float]:
        """Counts since the start."""
        names = ("requests", "turned_away", "connections", "open", "most_open")
        return {name: getattr(self, name) for name in names}


class OriginConnection(asyncio.Protocol):
    """One connection: a request at a time."""

    def __init__(self, origin: Origin) -> None:
        self.origin = origin
        self.buffer = b""
        self.response_timer: asyncio.TimerHandle | None = None  # of the request in hand

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.origin.connections += 1
        self.origin.open += 1
        self.origin.most_open = max(self.origin.most_open, self.origin.open)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if self.response_timer is None:
            self._read_request()

    def _read_request(self) -> None:
        head, found, rest = self.buffer.partition(b"\r\n\r\n")
        if not found:
            if len(self.buffer) > MAX_HEAD_BYTES:
                self.transport.abort()
            return
        first, *lines = head.split(b"\r\n")
        fields = {n.strip().lower(): v.strip() for n, _, v in (line.partition(b":") for line in lines)}
        try:
            length = int(fields.get(b"content-length", b"0"))
            method, target, _ = first.split(b" ")
        except ValueError:
            length = -1
        if not 0 <= length <= MAX_BODY_BYTES or method not in (b"GET", b"PUT") or b"request-id" not in fields:
            self.transport.write(
                b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            )
            self.transport.close()
            return
        if len(rest) < length:
            return
        body, self.buffer = rest[:length], rest[length:]
        origin = self.origin
        origin.requests += 1
        if origin.concurrent >= origin.max_concurrent:
            origin.turned_away += 1
            self._send_response(b"503 Service Unavailable\r\nNot-Started: 1", b"")
            return
        origin.concurrent += 1
        key, name = unquote_to_bytes(target.removeprefix(b"/")), fields[b"request-id"]
        loop = asyncio.get_running_loop()
        write = method == b"PUT"
        self.response_timer = loop.call_later(origin.service_s, self._complete, key, name, write, body)

    def _complete(self, key: bytes, name: bytes, write: bool, body: bytes) -> None:
        self.response_timer = None
        self.origin.concurrent -= 1
        self.origin.on_fetched(key, name, write)
        self._send_response(b"200 OK", b"receipt" if write else self.origin.value)

    def _send_response(self, status: bytes, body: bytes) -> None:
        self.transport.write(b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))
        if self.buffer:
            asyncio.get_running_loop().call_soon(self._read_request)

    def connection_lost(self, exc: Exception | None) -> None:
        self.origin.open -= 1
        if self.response_timer is not None:
            self.response_timer.cancel()
            self.origin.concurrent -= 1
