"""Page caches, some hundreds in one process at an address each, and the origin behind them.

    python -m scale_experiments.emulators.cache

A cache only stores: it reports a miss, and has the key once the origin has answered that request. The first
request on a connection takes `handshake_s` longer, as TLS would. A connection over the limit is rejected
at its first request. Modes of a cache:

- "serve": requests are served.
- "drain": requests are rejected.
- "hang": requests are read and never answered.
- "dead": connections are reset, new ones refused, and all keys are lost.

Commands: `StartCaches`, `GetCachesStats` and `SetCacheMode` of `scale_experiments.emulators.messages`.
"""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict, deque
from dataclasses import asdict
from typing import cast, get_args

from cache_router.net.resp import INCOMPLETE, RespError, RespReader
from scale_experiments.emulators.control import process_usage, serve_commands
from scale_experiments.emulators.messages.caches import (
    CacheCounters,
    CacheMode,
    CacheSettings,
    CachesStarted,
    CachesStats,
    GetCachesStats,
    OriginCounters,
    SetCacheMode,
    StartCaches,
)
from scale_experiments.emulators.messages.common import Done
from scale_experiments.emulators.origin import Origin

MAX_ARRAY_LENGTH = 16  # of a request
MAX_VALUE_BYTES = 64 * 1024
MAX_REQUEST_BYTES = MAX_VALUE_BYTES + 8192
MAX_PENDING_MISSES = 50_000  # requests that missed and wait for the origin
SAMPLE_INTERVAL_S = 0.1  # between counts of open connections
BACKLOG = 512
CachesCommand = StartCaches | SetCacheMode | GetCachesStats
COMMAND_TYPES: dict[str, type[CachesCommand]] = {
    each.do: each for each in (StartCaches, SetCacheMode, GetCachesStats)
}


class CacheCluster:
    """The settings that all caches of the process share, and the misses that wait for the origin."""

    def __init__(self, settings: CacheSettings) -> None:
        self.settings = settings
        self.value = b"v" * settings.value_bytes
        # by the request's id: the caches at which it missed
        self.pending_misses: OrderedDict[bytes, list[Cache]] = OrderedDict()

    def on_fetched(self, key: bytes, request_id: bytes, is_write: bool, caches: list[Cache]) -> None:
        """Store a fetched key at the caches that missed it, or remove a written key from all."""
        if is_write:
            for cache in caches:
                cache.remove(key)
        for cache in self.pending_misses.pop(request_id, ()):
            if not is_write:
                cache.store(key)

    def on_miss(self, request_id: bytes, cache: Cache) -> None:
        """Remember where a request missed, until the origin answers it; the oldest are forgotten."""
        self.pending_misses.setdefault(request_id, []).append(cache)
        if len(self.pending_misses) > MAX_PENDING_MISSES:
            self.pending_misses.popitem(last=False)


class Cache:
    """One page cache: its keys, its connections and its counts."""

    def __init__(self, cluster: CacheCluster, name: str, address: tuple[str, int]) -> None:
        self.cluster = cluster
        self.name = name
        self.address = address
        self.mode: CacheMode = "serve"
        self.warm = cluster.settings.warm
        self.keys: OrderedDict[bytes, None] = OrderedDict()  # that the cache has; if warm, that it lacks
        self.connections: dict[CacheConnection, None] = {}
        self.server: asyncio.Server | None = None
        self.accepted = self.handshakes = self.requests = self.hits = self.misses = self.rejected = 0
        self.waiting = self.max_open = 0
        self.open_sum = 0.0

    async def listen(self) -> None:
        """Accept connections; raises OSError if the address can't be used."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: CacheConnection(self), *self.address, backlog=BACKLOG, reuse_address=True
        )

    def contains(self, key: bytes) -> bool:
        """Whether the cache has a key; makes it the one used last."""
        if self.warm:
            return key not in self.keys
        if key in self.keys:
            self.keys.move_to_end(key)
            return True
        return False

    def store(self, key: bytes) -> None:
        """Store a key; the one used longest ago goes if there are too many."""
        if self.warm:
            self.keys.pop(key, None)
        else:
            self.keys[key] = None
            if len(self.keys) > self.cluster.settings.max_keys:
                self.keys.popitem(last=False)

    def remove(self, key: bytes) -> None:
        """Remove a key."""
        if self.warm:
            self.keys[key] = None
        else:
            self.keys.pop(key, None)

    def report(self) -> bytes:
        """The load report of a reply."""
        return b"svc_ms=%.1f,pending=%d" % (self.cluster.settings.service_s * 1000, self.waiting)

    def counters(self) -> CacheCounters:
        """Counts since the start."""
        return CacheCounters(
            accepted=self.accepted,
            handshakes=self.handshakes,
            requests=self.requests,
            hits=self.hits,
            misses=self.misses,
            rejected=self.rejected,
            open_sum=self.open_sum,
            max_open=self.max_open,
            open=len(self.connections),
        )

    async def set_mode(self, mode: CacheMode) -> None:
        """Behave in another way from now on; raises OSError where a dead cache can't listen again."""
        if mode == "dead":
            if self.server is not None:
                self.server.close()
                self.server = None
            for connection in list(self.connections):
                connection.transport.abort()
            self.keys.clear()
            self.warm = False
        elif self.server is None:
            await self.listen()
        self.mode = mode


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


class CachesEmulator:
    """All that the process emulates, driven by the commands of its control channel."""

    def __init__(self) -> None:
        self.caches: dict[str, Cache] = {}
        self.origin: Origin | None = None
        self.samples = 0
        self.sampling: asyncio.Task[None] | None = None

    async def start(self, command: StartCaches) -> CachesStarted:
        """Start the caches and the origin; raises OSError if an address can't be used."""
        cluster = CacheCluster(command)
        for name, address in command.addresses.items():
            self.caches[name] = Cache(cluster, name, _parse_address(address))
        caches = list(self.caches.values())
        for cache in caches:
            await cache.listen()
        self.origin = Origin(
            lambda key, request_id, is_write: cluster.on_fetched(key, request_id, is_write, caches),
            cluster.value,
            command.origin_service_s,
            command.origin_max_concurrent,
        )
        self.sampling = asyncio.create_task(self._sample())
        return CachesStarted("{}:{}".format(*await self.origin.listen(*_parse_address(command.origin))))

    async def _sample(self) -> None:
        while True:
            self.samples += 1
            for cache in self.caches.values():
                cache.open_sum += len(cache.connections)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def stats(self) -> CachesStats:
        """Counts of each cache and the origin since the start, and what the process has used."""
        return CachesStats(
            time=time.time(),
            samples=self.samples,
            caches={cache.name: cache.counters() for cache in self.caches.values()},
            origin=self.origin.counters() if self.origin is not None else OriginCounters(),
            **asdict(process_usage()),
        )

    async def handle(self, command: CachesCommand) -> object:
        """Carry out a command of the control channel; returns the reply."""
        match command:
            case StartCaches():
                return await self.start(command)
            case GetCachesStats():
                return self.stats()
            case SetCacheMode():
                if command.mode not in get_args(CacheMode):
                    raise ValueError(f"no such mode: {command.mode}")
                for name in command.names:
                    await self.caches[name].set_mode(command.mode)
        return Done()


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


if __name__ == "__main__":
    asyncio.run(serve_commands(CachesEmulator().handle, COMMAND_TYPES))
