"""The origin: HTTP/1.1, slow, with room for so many fetches at a time. It tells caches what was fetched."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from urllib.parse import unquote_to_bytes

MAX_BODY = 64 * 1024
MAX_HEAD = 16 * 1024
Fetched = Callable[[bytes, bytes, bool], None]  # key, request's id, whether it was a write


class Origin:
    """What all its connections share: its pace, its limit and its counts."""

    def __init__(self, fetched: Fetched, value: bytes, service_s: float, most_at_once: int) -> None:
        self.fetched = fetched
        self.value = value
        self.service_s = service_s
        self.most_at_once = most_at_once
        self.at_once = self.requests = self.turned_away = self.connections = self.open = self.most_open = 0
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
        self.timer: asyncio.TimerHandle | None = None  # of the request in hand

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.origin.connections += 1
        self.origin.open += 1
        self.origin.most_open = max(self.origin.most_open, self.origin.open)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if self.timer is None:
            self._take()

    def _take(self) -> None:
        head, found, rest = self.buffer.partition(b"\r\n\r\n")
        if not found:
            if len(self.buffer) > MAX_HEAD:
                self.transport.abort()
            return
        first, *lines = head.split(b"\r\n")
        fields = {n.strip().lower(): v.strip() for n, _, v in (line.partition(b":") for line in lines)}
        try:
            length = int(fields.get(b"content-length", b"0"))
            method, target, _ = first.split(b" ")
        except ValueError:
            length = -1
        if not 0 <= length <= MAX_BODY or method not in (b"GET", b"PUT") or b"request-id" not in fields:
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
        if origin.at_once >= origin.most_at_once:
            origin.turned_away += 1
            self._write(b"503 Service Unavailable\r\nNot-Started: 1", b"")
            return
        origin.at_once += 1
        key, name = unquote_to_bytes(target.removeprefix(b"/")), fields[b"request-id"]
        loop = asyncio.get_running_loop()
        write = method == b"PUT"
        self.timer = loop.call_later(origin.service_s, self._done, key, name, write, body)

    def _done(self, key: bytes, name: bytes, write: bool, body: bytes) -> None:
        self.timer = None
        self.origin.at_once -= 1
        self.origin.fetched(key, name, write)
        self._write(b"200 OK", b"receipt" if write else self.origin.value)

    def _write(self, status: bytes, body: bytes) -> None:
        self.transport.write(b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))
        if self.buffer:
            asyncio.get_running_loop().call_soon(self._take)

    def connection_lost(self, exc: Exception | None) -> None:
        self.origin.open -= 1
        if self.timer is not None:
            self.timer.cancel()
            self.origin.at_once -= 1
