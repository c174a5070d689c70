"""A connection to discovery, and the HTTP/1.1 polls that it carries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, cast
from urllib.parse import parse_qs, urlsplit

MAX_HEAD_BYTES = 8192  # size limit of a poll
MAX_WAIT_MS = 60_000  # limit of the time that a poll may wait for a change
LIST_PATH = "/registry/instances"


class PollError(ValueError):
    """A request that is not a valid poll."""


@dataclass(slots=True, frozen=True)
class Poll:
    """A request for updates after the index `after`, or for the complete list if that is None."""

    after: int | None
    wait_ms: int  # time that the poll may wait for a change


def parse_poll(target: str) -> Poll:
    """Parse the path and query of a poll.

    Raises:
        PollError: The path is not that of the endpoint list, or a parameter is not an integer.
    """
    parts = urlsplit(target)
    if parts.path != LIST_PATH:
        raise PollError(f"no such path: {parts.path}")
    query = parse_qs(parts.query)
    try:
        after = int(query["after"][0]) if "after" in query else None
        wait_ms = int(query["wait_ms"][0]) if "wait_ms" in query else 0
    except ValueError as e:
        raise PollError(f"after or wait_ms is not an integer: {parts.query}") from e
    return Poll(after, min(max(0, wait_ms), MAX_WAIT_MS))


def encode_response(status: str, body: bytes, close: bool) -> bytes:
    """Encode an HTTP/1.1 response; `close` announces that the connection is closed after it."""
    close_header = b"Connection: close\r\n" if close else b""
    head = b"HTTP/1.1 %b\r\nContent-Length: %d\r\n%b\r\n" % (status.encode(), len(body), close_header)
    return head + body


class ConnectionOwner(Protocol):
    """The part of discovery that its connections use."""

    def on_connected(self, connection: PollConnection) -> None:
        """Add a connection."""
        ...

    def on_disconnected(self, connection: PollConnection) -> None:
        """Remove a connection and its poll."""
        ...

    def on_received(self, byte_count: int) -> None:
        """Count received bytes."""
        ...

    def on_sent(self, byte_count: int) -> None:
        """Count sent bytes."""
        ...

    def on_poll(self, connection: PollConnection, wait_ms: int) -> None:
        """Handle a poll; the response is sent by the connection's `respond`, now or later."""
        ...


class PollConnection(asyncio.Protocol):
    """A connection that handles one poll at a time, in the order of arrival."""

    # slots save memory: many thousands of connections are open at the same time
    __slots__ = ("_buffer", "_discovery", "_must_close", "_timer", "_transport", "after", "is_unanswered")

    def __init__(self, discovery: ConnectionOwner) -> None:
        self.after: int | None = None  # index in the latest poll
        self.is_unanswered = False  # whether the latest poll has no response yet
        self._discovery = discovery
        self._buffer = b""
        self._must_close = False  # whether to close the connection after the response to the latest poll
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to discovery."""
        self._transport = cast(asyncio.Transport, transport)
        self._discovery.on_connected(self)

    def abort(self) -> None:
        """Reset the connection."""
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Buffer the data, and read the next poll unless the previous one has no response yet."""
        self._discovery.on_received(len(data))
        self._buffer += data
        if len(self._buffer) > MAX_HEAD_BYTES:
            self._transport.abort()
        elif not self.is_unanswered:
            self._read_poll()

    def _read_poll(self) -> None:
        head, separator, self._buffer = self._buffer.partition(b"\r\n\r\n")
        if not separator:
            self._buffer = head
            return
        request_line, _, header_lines = head.partition(b"\r\n")
        self._must_close = b"connection: close" in header_lines.lower()
        try:
            method, target, _ = request_line.decode("ascii").split(" ")
            if method != "GET":
                raise PollError(f"method is not GET: {method}")
            poll = parse_poll(target)
        except ValueError:  # includes PollError and UnicodeDecodeError
            self._must_close = True
            self.respond("400 Bad Request", b"")
            return
        self.after = poll.after
        self.is_unanswered = True
        self._discovery.on_poll(self, poll.wait_ms)

    def start_timer(self, delay_s: float, on_expired: Callable[[PollConnection], None]) -> None:
        """Call `on_expired` with this connection after a delay, unless the timer is cancelled before."""
        self._timer = asyncio.get_running_loop().call_later(delay_s, on_expired, self)

    def cancel_timer(self) -> None:
        """Cancel the timer of the latest poll, if one is running."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def respond(self, status: str, body: bytes) -> None:
        """Send the response to the latest poll, and read the next poll if it has arrived."""
        self.cancel_timer()
        self.is_unanswered = False
        data = encode_response(status, body, self._must_close)
        self._discovery.on_sent(len(data))
        self._transport.write(data)
        if self._must_close:
            self._transport.close()
        elif self._buffer:
            self._read_poll()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection and its poll from discovery."""
        self.cancel_timer()
        self._discovery.on_disconnected(self)
