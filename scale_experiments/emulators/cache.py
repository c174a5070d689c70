"""Page caches, some hundreds in one process at an address each, and the origin behind them.

    python -m scale_experiments.emulators.cache

A cache only stores: a miss is told, and once the origin has answered that request the key is held. The first
request on a connection takes `handshake_s` longer, as TLS would. A connection over the limit is turned away
at its first request. Commands (`do`): `start`, `stats`, `mode` (`names` and `mode`: `serve`; `drain`; `hang`,
requests are read and never answered; `dead`, connections are reset, new ones refused and all is forgotten).
"""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict, deque
from typing import Any, Literal

from cache_router.net.resp import INCOMPLETE, RespError, RespReader
from scale_experiments.emulators.control import process_usage, serve_commands
from scale_experiments.emulators.origin import Origin

MAX_VALUE_BYTES = 64 * 1024
MAX_PENDING_MISSES = 50_000  # requests that missed and wait for the origin
SAMPLE_INTERVAL_S = 0.1  # between counts of open connections
BACKLOG = 512
Mode = Literal["serve", "drain", "hang", "dead"]
MODES = ("serve", "drain", "hang", "dead")


class CacheCluster:
    """What all caches of the process share."""

    def __init__(self, command: dict[str, Any]) -> None:
        self.value = b"v" * int(command["value_bytes"])
        self.service_s: float = command["service_s"]
        self.handshake_s: float = command["handshake_s"]
        self.idle_s: float = command["idle_s"]
        self.max_connections: int = command["most_connections"]
        self.max_keys: int = command["most_keys"]
        self.warm: bool = command["warm"]  # each cache holds every key that was not dropped
        self.pending_misses: OrderedDict[bytes, list[Cache]] = OrderedDict()

    def on_fetched(self, key: bytes, name: bytes, write: bool, caches: list[Cache]) -> None:
        """The origin has answered: the caches that missed hold the key; a write drops it everywhere."""
        if write:
            for cache in caches:
                cache.remove(key)
        for cache in self.pending_misses.pop(name, ()):
            if not write:
                cache.store(key)

    def on_miss(self, name: bytes, cache: Cache) -> None:
        """A request missed at a cache."""
        self.pending_misses.setdefault(name, []).append(cache)
        if len(self.pending_misses) > MAX_PENDING_MISSES:
            self.pending_misses.popitem(last=False)


class Cache:
    """One page cache."""

    def __init__(self, cluster: CacheCluster, name: str, address: tuple[str, int]) -> None:
        self.cluster = cluster
        self.name = name
        self.address = address
        self.mode: Mode = "serve"
        self.warm = cluster.warm
        self.keys: OrderedDict[bytes, None] = OrderedDict()  # held; where warm: not held
        self.connections: dict[CacheConnection, None] = {}
        self.server: asyncio.Server | None = None
        self.accepted = self.handshakes = self.requests = self.hits = self.missed = self.busy = 0
        self.waiting = self.most_open = 0
        self.open_sum = 0.0

    async def listen(self) -> None:
        """Begin to accept."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: CacheConnection(self), *self.address, backlog=BACKLOG, reuse_address=True
        )

    def contains(self, key: bytes) -> bool:
        """Whether a key is held."""
        if self.warm:
            return key not in self.keys
        if key in self.keys:
            self.keys.move_to_end(key)
            return True
        return False

    def store(self, key: bytes) -> None:
        """Hold a key from now on."""
        if self.warm:
            self.keys.pop(key, None)
        else:
            self.keys[key] = None
            if len(self.keys) > self.cluster.max_keys:
                self.keys.popitem(last=False)

    def remove(self, key: bytes) -> None:
        """Hold a key no longer."""
        if self.warm:
            self.keys[key] = None
        else:
            self.keys.pop(key, None)

    def report(self) -> bytes:
        """The load report of a reply."""
        return b"svc_ms=%.1f,pending=%d" % (self.cluster.service_s * 1000, self.waiting)

    async def set_mode(self, mode: Mode) -> None:
        """Serve, drain, hang or die."""
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
        self.reader = RespReader(16, MAX_VALUE_BYTES, MAX_VALUE_BYTES + 8192)
        self.reply_at = 0.0  # when the latest reply goes out: a later request's does not overtake it
        self.over_limit = False
        self.requests = 0
        self.idle_timer: asyncio.TimerHandle | None = None
        self.pending_replies: deque[bytes] = deque()  # answers, a timer each

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        cache = self.cache
        cache.accepted += 1
        cache.connections[self] = None
        cache.most_open = max(cache.most_open, len(cache.connections))
        self.over_limit = len(cache.connections) > cache.cluster.max_connections
        cache.handshakes += not self.over_limit
        self._restart_idle_timer()

    def _restart_idle_timer(self) -> None:
        """The machine closes a connection that is idle for so long."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.idle_timer = asyncio.get_running_loop().call_later(self.cache.cluster.idle_s, self._on_idle)

    def _on_idle(self) -> None:
        if not self.pending_replies and self.cache.mode != "hang":
            self.transport.close()

    def data_received(self, data: bytes) -> None:
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
        cache, cluster = self.cache, self.cache.cluster
        if not isinstance(parts, list) or not all(isinstance(p, bytes) for p in parts):
            raise RespError("not a command")
        match [bytes(p) for p in parts]:
            case [b"PING"]:
                self.transport.write(b"+PONG\r\n")
                return
            case [b"C.GET", key, name, _]:
                value = cluster.value if cache.contains(key) else None
            case [b"C.SET", key, name, _, _]:
                value = None  # writes go to the origin; one that comes here is told as not held
            case _:
                raise RespError("unknown command")
        cache.requests += 1
        if self.over_limit or cache.mode == "drain":
            cache.busy += 1
            self.transport.write(b"-BUSY\r\n")
            if self.over_limit:
                self.transport.close()
            return
        self.requests += 1
        if value is None:
            cache.missed += 1
            cluster.on_miss(name, cache)
            reply = b"*3\r\n$-1\r\n$4\r\nmiss\r\n"
        else:
            cache.hits += 1
            reply = b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n" % (len(value), value)
        loop = asyncio.get_running_loop()
        duration_s = cluster.service_s + (cluster.handshake_s if self.requests == 1 else 0.0)
        self.reply_at = max(self.reply_at, loop.time() + duration_s)
        cache.waiting += 1
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
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.cache.waiting -= len(self.pending_replies)
        self.pending_replies.clear()
        self.cache.connections.pop(self, None)


class CachesEmulator:
    """The process."""

    def __init__(self) -> None:
        self.caches: dict[str, Cache] = {}
        self.origin: Origin | None = None
        self.samples = 0
        self.sampling: asyncio.Task[None] | None = None

    async def start(self, command: dict[str, Any]) -> dict[str, Any]:
        """Start caches at `addresses` (name to host:port) and the origin at `origin`; where that listens."""
        cluster = CacheCluster(command)
        for name, address in command["addresses"].items():
            host, _, port = address.rpartition(":")
            self.caches[name] = Cache(cluster, name, (host, int(port)))
        caches = list(self.caches.values())
        for cache in caches:
            await cache.listen()
        self.origin = Origin(
            lambda key, name, write: cluster.on_fetched(key, name, write, caches),
            cluster.value,
            command["origin_service_s"],
            command["origin_most_at_once"],
        )
        host, _, port = command["origin"].rpartition(":")
        self.sampling = asyncio.create_task(self._sample())
        return {"origin": "{}:{}".format(*await self.origin.listen(host, int(port)))}

    async def _sample(self) -> None:
        while True:
            self.samples += 1
            for cache in self.caches.values():
                cache.open_sum += len(cache.connections)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def stats(self) -> dict[str, Any]:
        """Counts of each cache and the origin since the start, and what the process has used."""
        names = ("accepted", "handshakes", "requests", "hits", "missed", "busy", "open_sum", "most_open")
        each = {
            c.name: {**{n: getattr(c, n) for n in names}, "open": len(c.connections)}
            for c in self.caches.values()
        }
        origin = self.origin.stats() if self.origin is not None else {}
        return {
            **process_usage(),
            "time": time.time(),
            "samples": self.samples,
            "caches": each,
            "origin": origin,
        }

    async def handle(self, command: dict[str, Any]) -> dict[str, Any]:
        """Carry out a command of the control channel."""
        match command["do"]:
            case "start":
                return await self.start(command)
            case "stats":
                return self.stats()
            case "mode":
                if command["mode"] not in MODES:
                    raise ValueError(f"no such mode: {command['mode']}")
                for name in command["names"]:
                    await self.caches[name].set_mode(command["mode"])
                return {}
            case other:
                raise ValueError(f"no such command: {other}")


if __name__ == "__main__":
    asyncio.run(serve_commands(CachesEmulator().handle))
