"""A connection to a cache server: reads requests, and writes each response after its service time."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol, cast

from cache_router.net.resp import INCOMPLETE, RespError, RespReader
from scale_experiments.emulators.messages.caches import CacheSettings

MAX_ARRAY_LENGTH = 16  # elements of a request
MAX_VALUE_BYTES = 64 * 1024
MAX_REQUEST_BYTES = MAX_VALUE_BYTES + 8192  # a value, and room for the other elements
PING_REPLY = b"+PONG\r\n"
REJECTED_REPLY = b"-BUSY\r\n"


class ConnectionOwner(Protocol):
    """Interface through which connections use their cache server."""

    @property
    def settings(self) -> CacheSettings:
        """Settings of the cache server."""
        ...

    @property
    def is_hanging(self) -> bool:
        """Whether requests are read and never answered."""
        ...

    def on_connected(self, connection: CacheConnection) -> bool:
        """Add a connection; return whether it exceeds the connection limit."""
        ...

    def on_disconnected(self, connection: CacheConnection, unsent_replies: int) -> None:
        """Remove a connection; its unsent responses are no longer pending."""
        ...

    def handle_read(self, key: bytes, request_id: bytes, *, is_over_limit: bool) -> bytes | None:
        """Handle a read; return its response without the load report, or None if it is rejected."""
        ...

    def handle_write(self, request_id: bytes, *, is_over_limit: bool) -> bytes | None:
        """Handle a write; return its response without the load report, or None if it is rejected."""
        ...

    def on_reply_queued(self) -> None:
        """Count a request as pending."""
        ...

    def on_reply_due(self) -> None:
        """Count a request as no longer pending, because its service time has passed."""
        ...

    def load_report(self) -> bytes:
        """Return the load report, the last element of a response."""
        ...


class CacheConnection(asyncio.Protocol):
    """One connection to a cache server.

    The responses to admitted requests are sent in the order of the requests. Rejections and responses to
    PING are sent at once.
    """

    def __init__(self, cache: ConnectionOwner) -> None:
        self._cache = cache
        self._reader = RespReader(MAX_ARRAY_LENGTH, MAX_VALUE_BYTES, MAX_REQUEST_BYTES)
        self._last_reply_due_at = 0.0  # event loop time; later responses are not sent before it
        self._is_over_limit = False
        self._admitted_requests = 0
        self._idle_timer: asyncio.TimerHandle | None = None
        self._pending_replies: deque[bytes] = deque()  # responses without load reports; each has a timer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the cache server."""
        self._transport = cast(asyncio.Transport, transport)
        self._is_over_limit = self._cache.on_connected(self)
        self._restart_idle_timer()

    def abort(self) -> None:
        """Reset the connection."""
        self._transport.abort()

    def _restart_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(self._cache.settings.idle_s, self._close_if_idle)

    def _close_if_idle(self) -> None:
        if not self._pending_replies and not self._cache.is_hanging:
            self._transport.close()

    def data_received(self, data: bytes) -> None:
        """Handle all complete requests; discard the data while the cache server hangs."""
        if self._cache.is_hanging:
            return
        self._reader.feed(data)
        try:
            while (message := self._reader.next()) is not INCOMPLETE:
                self._handle_request(message)
        except RespError as e:
            self._transport.write(b"-SYNTAX %b\r\n" % str(e).encode())
            self._transport.close()

    def _handle_request(self, message: object) -> None:
        """Execute a command; raise RespError if it is not part of the protocol."""
        if not isinstance(message, list) or not all(isinstance(p, bytes) for p in message):
            raise RespError("not a command")
        match [bytes(p) for p in message]:
            case [b"PING"]:
                self._transport.write(PING_REPLY)
            case [b"C.GET", key, request_id, _]:
                reply = self._cache.handle_read(key, request_id, is_over_limit=self._is_over_limit)
                self._respond(reply)
            case [b"C.SET", _, request_id, _, _]:
                reply = self._cache.handle_write(request_id, is_over_limit=self._is_over_limit)
                self._respond(reply)
            case _:
                raise RespError("unknown command")

    def _respond(self, reply: bytes | None) -> None:
        """Queue a response, or send a rejection at once and close a connection that exceeds the limit."""
        if reply is not None:
            self._queue_reply(reply)
            return
        self._transport.write(REJECTED_REPLY)
        if self._is_over_limit:
            self._transport.close()

    def _queue_reply(self, reply: bytes) -> None:
        """Send a response after the service time; the first one is also delayed by the handshake time."""
        loop = asyncio.get_running_loop()
        settings = self._cache.settings
        handshake_s = settings.handshake_s if self._admitted_requests == 0 else 0.0
        self._admitted_requests += 1
        self._last_reply_due_at = max(
            self._last_reply_due_at, loop.time() + (settings.service_s + handshake_s)
        )
        self._cache.on_reply_queued()
        self._pending_replies.append(reply)
        loop.call_at(self._last_reply_due_at, self._send_reply)

    def _send_reply(self) -> None:
        if not self._pending_replies:  # the connection was closed before the response was due
            return
        reply = self._pending_replies.popleft()
        self._cache.on_reply_due()
        if self._cache.is_hanging:
            return
        report = self._cache.load_report()
        self._transport.write(reply + b"$%d\r\n%b\r\n" % (len(report), report))
        self._restart_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the cache server, and drop the unsent responses."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        unsent_replies = len(self._pending_replies)
        self._pending_replies.clear()
        self._cache.on_disconnected(self, unsent_replies)
