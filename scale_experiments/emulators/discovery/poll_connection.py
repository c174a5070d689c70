"""A connection to discovery, and the polls that it carries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast
from urllib.parse import parse_qs, urlsplit

if TYPE_CHECKING:
    from scale_experiments.emulators.discovery.emulator import DiscoveryEmulator

MAX_HEAD_BYTES = 8192  # of a poll
MAX_WAIT_MS = 60_000


class PollError(ValueError):
    """A poll that is not of the protocol."""


def parse_poll(target: str) -> tuple[int | None, int]:
    """The index and the wait in milliseconds of a poll's target; raises PollError."""
    parts = urlsplit(target)
    if parts.path != "/registry/instances":
        raise PollError("no such path")
    query = parse_qs(parts.query)
    try:
        after = int(query["after"][0]) if "after" in query else None
        wait_ms = int(query["wait_ms"][0]) if "wait_ms" in query else 0
    except ValueError as e:
        raise PollError("not a number") from e
    return after, min(max(0, wait_ms), MAX_WAIT_MS)


def encode_response(status: str, body: bytes, close: bool) -> bytes:
    """An HTTP/1.1 response."""
    ending = b"Connection: close\r\n" if close else b""
    head = b"HTTP/1.1 %b\r\nContent-Length: %d\r\n%b\r\n" % (status.encode(), len(body), ending)
    return head + body


class PollConnection(asyncio.Protocol):
    """One connection: a poll at a time, in the order in which they come."""

    __slots__ = ("after", "buffer", "close_after", "discovery", "is_unanswered", "timer", "transport")

    def __init__(self, discovery: DiscoveryEmulator) -> None:
        self.discovery = discovery
        self.buffer = b""
        self.after: int | None = None
        self.close_after = False
        self.is_unanswered = False  # a poll has no response yet
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.discovery.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Read a poll, unless one has no response yet."""
        self.discovery.bytes_in += len(data)
        self.buffer += data
        if len(self.buffer) > MAX_HEAD_BYTES:
            self.transport.abort()
        elif not self.is_unanswered:
            self._read_poll()

    def _read_poll(self) -> None:
        head, found, self.buffer = self.buffer.partition(b"\r\n\r\n")
        if not found:
            self.buffer = head
            return
        first, _, fields = head.partition(b"\r\n")
        self.close_after = b"connection: close" in fields.lower()
        try:
            method, target, _ = first.decode("ascii").split(" ")
            if method != "GET":
                raise PollError("not a GET")
            self.after, wait_ms = parse_poll(target)
        except ValueError:  # also PollError, and text that is not ASCII
            self.close_after = True
            self.write("400 Bad Request", b"")
            return
        self.is_unanswered = True
        self.discovery.on_poll(self, wait_ms)

    def write(self, status: str, body: bytes) -> None:
        """Respond to the poll; the next one may have come meanwhile."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.is_unanswered = False
        data = encode_response(status, body, self.close_after)
        self.discovery.bytes_out += len(data)
        self.transport.write(data)
        if self.close_after:
            self.transport.close()
        elif self.buffer:
            self._read_poll()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection and its poll."""
        if self.timer is not None:
            self.timer.cancel()
        self.discovery.on_disconnected(self)
