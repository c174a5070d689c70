"""Hollow routers: hundreds in one process, each with the real watch over a real socket and no clients.

    python -m scale_experiments.hollow

A router here is the program's own `Discovery` and `Dispatcher`, put together as the program does it. With
`held` = "router" the decision module takes every list; with "list" the host keeps the list, and the module
is told only that one came, so that the pauses after failed calls are its own and no ring is built; with
"index" not even the list is kept, and a call is made and read with the least work that puts the same bytes
on the wire, so that one machine bears the load of some thousand routers on discovery. Commands (`do`):
`start`, `stats`, `had` (when each router had an index).
"""

from __future__ import annotations

import asyncio
import logging
import math
import re
import time
from array import array
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from cache_router.decisions.events import EndpointUpdate, EndpointUpdateKind, Event
from cache_router.endpoint import Endpoint
from cache_router.net.address import parse_address
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.discovery import MAX_LIST_SIZE, Discovery
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.endpoint_list_reader import EndpointListError, EndpointListMessage, read_endpoint_list
from cache_router.net.endpoint_table import NetworkEndpoint
from cache_router.net.origin_connection import OriginConnection
from cache_router.settings import Settings
from cache_router.settings_reader import read_settings
from scale_experiments.emulators.control import serve, usage

KEPT_INDICES = 512  # whose times are kept for each router
HEAD = re.compile(rb"HTTP/1.1 (\d+) .*?\r\ncontent-length: *(\d+)\r\n.*?\r\n\r\n", re.IGNORECASE | re.DOTALL)
ANYONE = [NetworkEndpoint(Endpoint("-"), "127.0.0.1:1")]  # stands for the entries of an answer that has some


class ListHost(Dispatcher):
    """A host that keeps the list and leaves the decision module without a ring."""

    def post(self, event: Event) -> None:
        super().post(EndpointUpdate(event.kind) if isinstance(event, EndpointUpdate) else event)


class LightCall(asyncio.Protocol):
    """One call and its answer."""

    def __init__(self, request: bytes, done: asyncio.Future[bytes]) -> None:
        self.request = request
        self.done = done
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head = HEAD.match(self.buffer)
        if head is not None and len(self.buffer) >= head.end() + int(head[2]):
            if head[1] == b"200":
                self._finish(self.buffer[head.end() :])
            else:
                self._fail(EndpointListError(f"answered {head[1].decode()}"))
        elif len(self.buffer) > MAX_LIST_SIZE:
            self._fail(EndpointListError("too long"))

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(exc or ConnectionResetError("ended without an answer"))

    def _finish(self, body: bytes) -> None:
        if not self.done.done():
            self.done.set_result(body)

    def _fail(self, error: Exception) -> None:
        if not self.done.done():
            self.done.set_exception(error)


class LightDiscovery(Discovery):
    """The real watch with a call of its own: the same request and times, and only the index is kept."""

    async def _poll(self) -> EndpointListMessage:
        poll = self.next_poll()
        request = f"GET {poll.target} HTTP/1.1\r\nHost: {self.address}\r\nConnection: close\r\n\r\n".encode()
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(poll.timeout):
            done: asyncio.Future[bytes] = loop.create_future()
            transport, _ = await loop.create_connection(
                lambda: LightCall(request, done), *parse_address(self.address)
            )
            try:
                body = await done
            finally:
                transport.close()
        # of a whole list only the head is read: all of it would cost as much as keeping it
        index = re.match(rb'{"index":(\d+),"snapshot":(true|false),"endpoints":\[(.?)', body)
        if index is None:
            raise EndpointListError("no list")
        return EndpointListMessage(int(index[1]), index[2] == b"true", ANYONE if index[3] == b"{" else [])


class Times:
    """When each router had each index: seconds of the monotonic clock, NaN where it has not."""

    def __init__(self, routers: int) -> None:
        self.routers = routers
        self.of_index: OrderedDict[int, array[float]] = OrderedDict()

    def note(self, router: int, before: int, index: int, at: float) -> None:
        """A router holds `index` now, and had `before`."""
        for each in range(max(before + 1, index - KEPT_INDICES + 1), index + 1):
            if each not in self.of_index:
                self.of_index[each] = array("d", [math.nan]) * self.routers
                if len(self.of_index) > KEPT_INDICES:
                    self.of_index.popitem(last=False)
            self.of_index[each][router] = at


class HollowRouter:
    """One router without clients."""

    def __init__(self, number: int, fleet: HollowFleet, address: str, seed: int, index: int) -> None:
        self.number = number
        self.fleet = fleet
        self.index = index
        settings = fleet.settings
        dial, idle = settings.connect_timeout, settings.connection_idle_timeout
        servers, origin = (
            ConnectionPool(CacheConnection, 1, dial, idle),
            ConnectionPool(OriginConnection, 1, dial, idle),
        )
        make = {"router": Dispatcher, "list": ListHost, "index": ListHost}[fleet.held]
        self.host = make(settings, seed, servers, origin, self._subscribe)
        self.pushed = not settings.must_subscribe
        watch = LightDiscovery if fleet.held == "index" else Discovery
        self.discovery = watch(
            address, index, self._told, self._failed, self.pushed, budget=settings.watch_budget
        )

    def begin(self, known: list[NetworkEndpoint]) -> None:
        """Take the list known before and begin to watch, as the program does."""
        self.host.on_endpoint_update(EndpointUpdateKind.CACHED, [] if self.fleet.held == "index" else known)
        if self.pushed:
            self.discovery.subscribe()

    def _subscribe(self) -> None:
        self.discovery.subscribe()

    def _told(self, kind: EndpointUpdateKind, members: list[NetworkEndpoint]) -> None:
        self.host.on_endpoint_update(kind, members)
        index = self.discovery.index
        if index is not None and index > self.index:
            self.fleet.times.note(self.number, self.index, index, time.monotonic())
            self.index = index
        self.fleet.told += 1

    def _failed(self) -> None:
        self.fleet.failed += 1
        self.host.on_watch_failed()


class HollowFleet:
    """The routers of this process."""

    def __init__(self) -> None:
        self.settings = Settings(classes={})
        self.held = "list"
        self.routers: list[HollowRouter] = []
        self.times = Times(0)
        self.told = 0
        self.failed = 0
        self.starts: list[asyncio.TimerHandle] = []

    def start(self, command: dict[str, Any]) -> None:
        """Start `routers` routers within `spread_s`, over the `discovery` addresses in turn."""
        self.settings = read_settings(command["settings"])
        self.held = command["held"]
        known = read_endpoint_list(command["known"], "known")
        self.times = Times(command["routers"])
        addresses: list[str] = command["discovery"]
        loop = asyncio.get_running_loop()
        for number in range(command["routers"]):
            address = addresses[number % len(addresses)]
            router = HollowRouter(number, self, address, command["seed"] + number, known.index)
            self.routers.append(router)
            begin: Callable[[list[NetworkEndpoint]], None] = router.begin
            self.starts.append(
                loop.call_later(command["spread_s"] * number / command["routers"], begin, known.endpoints)
            )

    def stats(self) -> dict[str, Any]:
        """Counts since the start, and what the process has used."""
        indices = [r.index for r in self.routers]
        return {
            **usage(),
            "told": self.told,
            "failed": self.failed,
            "lowest": min(indices, default=0),
            "entries": min((len(r.host.endpoints) for r in self.routers), default=0),
        }

    async def handle(self, command: dict[str, Any]) -> dict[str, Any]:
        """Carry out a command of the control channel."""
        match command["do"]:
            case "start":
                self.start(command)
                return {}
            case "stats":
                return self.stats()
            case "had":
                empty = array("d", [math.nan]) * self.times.routers
                return {"times": list(self.times.of_index.get(command["index"], empty))}  # NaN is null
            case other:
                raise ValueError(f"no such command: {other}")


if __name__ == "__main__":
    # a failed call is counted; some thousand lines a second would cost more than the calls
    logging.basicConfig(level=logging.ERROR)
    asyncio.run(serve(HollowFleet().handle))
