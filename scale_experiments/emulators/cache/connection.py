"""A connection to a page cache."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, cast

from cache_router.net.resp import INCOMPLETE, RespError, RespReader

if TYPE_CHECKING:
    from scale_experiments.emulators.cache.server import Cache

MAX_ARRAY_LENGTH = 16  # of a request
MAX_VALUE_BYTES = 64 * 1024
MAX_REQUEST_BYTES = MAX_VALUE_BYTES + 8192


class CacheConnection(asyncio.Protocol):
    """One connection to a cache; answers go out in the order of the requests."""

    def __init__(self, cache: Cache) -> None:
        self.cache = cache
        self.reader = RespReader(MAX_ARRAY_LENGTH, MAX_VALUE_BYTES, MAX_REQUEST_BYTES)
        self.reply_at = 0.0  # when the latest reply goes out: a later request's does not overtake it
        self.over_limit = False
        self.requests = 0
        self.idle_timer: asyncio.TimerHandle | None = None
        self.pending_replies: deque[bytes] = deque()  # answers, a timer each

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, and find out whether it is over the limit."""
        self.transport = cast(asyncio.Transport, transport)
        cache = self.cache
        cache.accepted += 1
        cache.connections[self] = None
        cache.max_open = max(cache.max_open, len(cache.connections))
        self.over_limit = len(cache.connections) > cache.cluster.settings.max_connections
        cache.handshakes += not self.over_limit
        self._restart_idle_timer()

    def _restart_idle_timer(self) -> None:
        """The machine closes a connection that is idle for so long."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        idle_s = self.cache.cluster.settings.idle_s
        self.idle_timer = asyncio.get_running_loop().call_later(idle_s, self._on_idle)

    def _on_idle(self) -> None:
        if not self.pending_replies and self.cache.mode != "hang":
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Handle the requests that are complete, unless the cache hangs."""
        if self.cache.mode == "hang":
            return
        self.reader.feed(data)
        try:
            while (parts := self.reader.next()) is not INCOMPLETE:
                self._handle_request(parts)
        except RespError as e:
            self.transport.write(b"-SYNTAX %b\r\n" % str(e).encode())
            self.transport.close()

    def _handle_request(self, parts: object) -> None:
        """Carry out a command; raises RespError for one that is not of the protocol."""
        if not isinstance(parts, list) or not all(isinstance(p, bytes) for p in parts):
            raise RespError("not a command")
        match [bytes(p) for p in parts]:
            case [b"PING"]:
                self.transport.write(b"+PONG\r\n")
            case [b"C.GET", key, request_id, _]:
                self._answer_request(request_id, self.cache.contains(key))
            case [b"C.SET", _, request_id, _, _]:
                # writes go to the origin; one that comes here is a miss
                self._answer_request(request_id, False)
            case _:
                raise RespError("unknown command")

    def _answer_request(self, request_id: bytes, is_hit: bool) -> None:
        cache, cluster = self.cache, self.cache.cluster
        cache.requests += 1
        if self.over_limit or cache.mode == "drain":
            cache.rejected += 1
            self.transport.write(b"-BUSY\r\n")
            if self.over_limit:
                self.transport.close()
            return
        self.requests += 1
        if is_hit:
            cache.hits += 1
            self._queue_reply(b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n" % (len(cluster.value), cluster.value))
        else:
            cache.misses += 1
            cluster.on_miss(request_id, cache)
            self._queue_reply(b"*3\r\n$-1\r\n$4\r\nmiss\r\n")

    def _queue_reply(self, reply: bytes) -> None:
        """Send a reply, without its load report, once its time of service is over."""
        loop = asyncio.get_running_loop()
        settings = self.cache.cluster.settings
        duration_s = settings.service_s + (settings.handshake_s if self.requests == 1 else 0.0)
        self.reply_at = max(self.reply_at, loop.time() + duration_s)
        self.cache.waiting += 1
        self.pending_replies.append(reply)
        loop.call_at(self.reply_at, self._send_reply)

    def _send_reply(self) -> None:
        if not self.pending_replies:  # the connection has ended
            return
        reply = self.pending_replies.popleft()
        self.cache.waiting -= 1
        if self.cache.mode == "hang":
            return
        report = self.cache.report()
        self.transport.write(reply + b"$%d\r\n%b\r\n" % (len(report), report))
        self._restart_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection and the replies that it waited for."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.cache.waiting -= len(self.pending_replies)
        self.pending_replies.clear()
        self.cache.connections.pop(self, None)
