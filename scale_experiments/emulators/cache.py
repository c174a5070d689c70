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
from scale_experiments.emulators.control import serve, usage
from scale_experiments.emulators.origin import Origin

MAX_VALUE = 64 * 1024
KEPT_MISSES = 50_000  # requests that missed and wait for the origin
SAMPLE_S = 0.1  # between counts of open connections
BACKLOG = 512
Mode = Literal["serve", "drain", "hang", "dead"]
MODES = ("serve", "drain", "hang", "dead")


class Plan:
    """What all caches of the process share."""

    def __init__(self, command: dict[str, Any]) -> None:
        self.value = b"v" * int(command["value_bytes"])
        self.service_s: float = command["service_s"]
        self.handshake_s: float = command["handshake_s"]
        self.idle_s: float = command["idle_s"]
        self.most_connections: int = command["most_connections"]
        self.most_keys: int = command["most_keys"]
        self.warm: bool = command["warm"]  # each cache holds every key that was not dropped
        self.misses: OrderedDict[bytes, list[Cache]] = OrderedDict()

    def fetched(self, key: bytes, name: bytes, write: bool, caches: list[Cache]) -> None:
        """The origin has answered: the caches that missed hold the key; a write drops it everywhere."""
        if write:
            for cache in caches:
                cache.drop(key)
        for cache in self.misses.pop(name, ()):
            if not write:
                cache.hold(key)

    def missed(self, name: bytes, cache: Cache) -> None:
        """A request missed at a cache."""
        self.misses.setdefault(name, []).append(cache)
        if len(self.misses) > KEPT_MISSES:
            self.misses.popitem(last=False)


class Cache:
    """One page cache."""

    def __init__(self, plan: Plan, name: str, address: tuple[str, int]) -> None:
        self.plan = plan
        self.name = name
        self.address = address
        self.mode: Mode = "serve"
        self.warm = plan.warm
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

    def has(self, key: bytes) -> bool:
        """Whether a key is held."""
        if self.warm:
            return key not in self.keys
        if key in self.keys:
            self.keys.move_to_end(key)
            return True
        return False

    def hold(self, key: bytes) -> None:
        """Hold a key from now on."""
        if self.warm:
            self.keys.pop(key, None)
        else:
            self.keys[key] = None
            if len(self.keys) > self.plan.most_keys:
                self.keys.popitem(last=False)

    def drop(self, key: bytes) -> None:
        """Hold a key no longer."""
        if self.warm:
            self.keys[key] = None
        else:
            self.keys.pop(key, None)

    def report(self) -> bytes:
        """The load report of an answer."""
        return b"svc_ms=%.1f,pending=%d" % (self.plan.service_s * 1000, self.waiting)

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
        self.reader = RespReader(16, MAX_VALUE, MAX_VALUE + 8192)
        self.ready_at = 0.0  # when the latest answer goes out: a later request's does not overtake it
        self.turned_away = False
        self.requests = 0
        self.expiry: asyncio.TimerHandle | None = None
        self.owed: deque[bytes] = deque()  # answers, a timer each

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        cache = self.cache
        cache.accepted += 1
        cache.connections[self] = None
        cache.most_open = max(cache.most_open, len(cache.connections))
        self.turned_away = len(cache.connections) > cache.plan.most_connections
        cache.handshakes += not self.turned_away
        self._expire_later()

    def _expire_later(self) -> None:
        """The machine closes a connection that is idle for so long."""
        if self.expiry is not None:
            self.expiry.cancel()
        self.expiry = asyncio.get_running_loop().call_later(self.cache.plan.idle_s, self._expire)

    def _expire(self) -> None:
        if not self.owed and self.cache.mode != "hang":
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        if self.cache.mode == "hang":
            return
        self.reader.feed(data)
        try:
            while (parts := self.reader.next()) is not INCOMPLETE:
                self._take(parts)
        except RespError as e:
            self.transport.write(b"-SYNTAX %b\r\n" % str(e).encode())
            self.transport.close()

    def _take(self, parts: object) -> None:
        cache, plan = self.cache, self.cache.plan
        if not isinstance(parts, list) or not all(isinstance(p, bytes) for p in parts):
            raise RespError("not a command")
        match [bytes(p) for p in parts]:
            case [b"PING"]:
                self.transport.write(b"+PONG\r\n")
                return
            case [b"C.GET", key, name, _]:
                value = plan.value if cache.has(key) else None
            case [b"C.SET", key, name, _, _]:
                value = None  # writes go to the origin; one that comes here is told as not held
            case _:
                raise RespError("unknown command")
        cache.requests += 1
        if self.turned_away or cache.mode == "drain":
            cache.busy += 1
            self.transport.write(b"-BUSY\r\n")
            if self.turned_away:
                self.transport.close()
            return
        self.requests += 1
        if value is None:
            cache.missed += 1
            plan.missed(name, cache)
            answer = b"*3\r\n$-1\r\n$4\r\nmiss\r\n"
        else:
            cache.hits += 1
            answer = b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n" % (len(value), value)
        loop = asyncio.get_running_loop()
        took = plan.service_s + (plan.handshake_s if self.requests == 1 else 0.0)
        self.ready_at = max(self.ready_at, loop.time() + took)
        cache.waiting += 1
        self.owed.append(answer)
        loop.call_at(self.ready_at, self._answer)

    def _answer(self) -> None:
        if not self.owed:  # the connection has ended
            return
        answer = self.owed.popleft()
        self.cache.waiting -= 1
        if self.cache.mode == "hang":
            return
        report = self.cache.report()
        self.transport.write(answer + b"$%d\r\n%b\r\n" % (len(report), report))
        self._expire_later()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.expiry is not None:
            self.expiry.cancel()
        self.cache.waiting -= len(self.owed)
        self.owed.clear()
        self.cache.connections.pop(self, None)


class Caches:
    """The process."""

    def __init__(self) -> None:
        self.caches: dict[str, Cache] = {}
        self.origin: Origin | None = None
        self.samples = 0
        self.sampling: asyncio.Task[None] | None = None

    async def start(self, command: dict[str, Any]) -> dict[str, Any]:
        """Start caches at `addresses` (name to host:port) and the origin at `origin`; where that listens."""
        plan = Plan(command)
        for name, address in command["addresses"].items():
            host, _, port = address.rpartition(":")
            self.caches[name] = Cache(plan, name, (host, int(port)))
        every = list(self.caches.values())
        for cache in every:
            await cache.listen()
        self.origin = Origin(
            lambda key, name, write: plan.fetched(key, name, write, every),
            plan.value,
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
            await asyncio.sleep(SAMPLE_S)

    def stats(self) -> dict[str, Any]:
        """Counts of each cache and the origin since the start, and what the process has used."""
        names = ("accepted", "handshakes", "requests", "hits", "missed", "busy", "open_sum", "most_open")
        each = {
            c.name: {**{n: getattr(c, n) for n in names}, "open": len(c.connections)}
            for c in self.caches.values()
        }
        origin = self.origin.stats() if self.origin is not None else {}
        return {**usage(), "time": time.time(), "samples": self.samples, "caches": each, "origin": origin}

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
    asyncio.run(serve(Caches().handle))
