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
from scale_experiments.emulators.control import process_usage, serve_commands

MAX_RECORDED_INDICES = 512  # whose times are kept for each router
RESPONSE_HEAD = re.compile(
    rb"HTTP/1.1 (\d+) .*?\r\ncontent-length: *(\d+)\r\n.*?\r\n\r\n", re.IGNORECASE | re.DOTALL
)
PLACEHOLDER_ENDPOINTS = [
    NetworkEndpoint(Endpoint("-"), "127.0.0.1:1")
]  # stands for the entries of an answer that has some


class RinglessDispatcher(Dispatcher):
    """A host that keeps the list and leaves the decision module without a ring."""

    def post(self, event: Event) -> None:
        super().post(EndpointUpdate(event.kind) if isinstance(event, EndpointUpdate) else event)


class MinimalPoll(asyncio.Protocol):
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
        head = RESPONSE_HEAD.match(self.buffer)
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


class MinimalDiscovery(Discovery):
    """The real watch with a call of its own: the same request and times, and only the index is kept."""

    async def _poll(self) -> EndpointListMessage:
        poll = self.next_poll()
        request = f"GET {poll.target} HTTP/1.1\r\nHost: {self.address}\r\nConnection: close\r\n\r\n".encode()
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(poll.timeout):
            done: asyncio.Future[bytes] = loop.create_future()
            transport, _ = await loop.create_connection(
                lambda: MinimalPoll(request, done), *parse_address(self.address)
            )
            try:
                body = await done
            finally:
                transport.close()
        # of a whole list only the head is read: all of it would cost as much as keeping it
        index = re.match(rb'{"index":(\d+),"snapshot":(true|false),"endpoints":\[(.?)', body)
        if index is None:
            raise EndpointListError("no list")
        return EndpointListMessage(
            int(index[1]), index[2] == b"true", PLACEHOLDER_ENDPOINTS if index[3] == b"{" else []
        )


class NotificationTimes:
    """When each router had each index: seconds of the monotonic clock, NaN where it has not."""

    def __init__(self, routers: int) -> None:
        self.routers = routers
        self.by_index: OrderedDict[int, array[float]] = OrderedDict()

    def record(self, router: int, before: int, index: int, at: float) -> None:
        """A router holds `index` now, and had `before`."""
        for each in range(max(before + 1, index - MAX_RECORDED_INDICES + 1), index + 1):
            if each not in self.by_index:
                self.by_index[each] = array("d", [math.nan]) * self.routers
                if len(self.by_index) > MAX_RECORDED_INDICES:
                    self.by_index.popitem(last=False)
            self.by_index[each][router] = at


class HollowRouter:
    """One router without clients."""

    def __init__(self, number: int, fleet: HollowFleet, address: str, seed: int, index: int) -> None:
        self.number = number
        self.fleet = fleet
        self.index = index
        settings = fleet.settings
        connect_timeout, idle_timeout = settings.connect_timeout, settings.connection_idle_timeout
        cache_pool, origin_pool = (
            ConnectionPool(CacheConnection, 1, connect_timeout, idle_timeout),
            ConnectionPool(OriginConnection, 1, connect_timeout, idle_timeout),
        )
        dispatcher_type = {"router": Dispatcher, "list": RinglessDispatcher, "index": RinglessDispatcher}[
            fleet.held
        ]
        self.dispatcher = dispatcher_type(settings, seed, cache_pool, origin_pool, self._subscribe)
        self.is_automatic = not settings.must_subscribe
        discovery_type = MinimalDiscovery if fleet.held == "index" else Discovery
        self.discovery = discovery_type(
            address, index, self._on_update, self._on_failure, self.is_automatic, budget=settings.watch_budget
        )

    def start(self, cached_list: list[NetworkEndpoint]) -> None:
        """Take the list known before and begin to watch, as the program does."""
        self.dispatcher.on_endpoint_update(
            EndpointUpdateKind.CACHED, [] if self.fleet.held == "index" else cached_list
        )
        if self.is_automatic:
            self.discovery.subscribe()

    def _subscribe(self) -> None:
        self.discovery.subscribe()

    def _on_update(self, kind: EndpointUpdateKind, members: list[NetworkEndpoint]) -> None:
        self.dispatcher.on_endpoint_update(kind, members)
        index = self.discovery.index
        if index is not None and index > self.index:
            self.fleet.times.record(self.number, self.index, index, time.monotonic())
            self.index = index
        self.fleet.notified += 1

    def _on_failure(self) -> None:
        self.fleet.failed += 1
        self.dispatcher.on_watch_failed()


class HollowFleet:
    """The routers of this process."""

    def __init__(self) -> None:
        self.settings = Settings(classes={})
        self.held = "list"
        self.routers: list[HollowRouter] = []
        self.times = NotificationTimes(0)
        self.notified = 0
        self.failed = 0
        self.start_timers: list[asyncio.TimerHandle] = []

    def start(self, command: dict[str, Any]) -> None:
        """Start `routers` routers within `spread_s`, over the `discovery` addresses in turn."""
        self.settings = read_settings(command["settings"])
        self.held = command["held"]
        cached_list = read_endpoint_list(command["known"], "known")
        self.times = NotificationTimes(command["routers"])
        addresses: list[str] = command["discovery"]
        loop = asyncio.get_running_loop()
        for number in range(command["routers"]):
            address = addresses[number % len(addresses)]
            router = HollowRouter(number, self, address, command["seed"] + number, cached_list.index)
            self.routers.append(router)
            start: Callable[[list[NetworkEndpoint]], None] = router.start
            self.start_timers.append(
                loop.call_later(
                    command["spread_s"] * number / command["routers"], start, cached_list.endpoints
                )
            )

    def stats(self) -> dict[str, Any]:
        """Counts since the start, and what the process has used."""
        indices = [r.index for r in self.routers]
        return {
            **process_usage(),
            "told": self.notified,
            "failed": self.failed,
            "lowest": min(indices, default=0),
            "entries": min((len(r.dispatcher.endpoints) for r in self.routers), default=0),
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
                return {"times": list(self.times.by_index.get(command["index"], empty))}  # NaN is null
            case other:
                raise ValueError(f"no such command: {other}")


if __name__ == "__main__":
    # a failed call is counted; some thousand lines a second would cost more than the calls
    logging.basicConfig(level=logging.ERROR)
    asyncio.run(serve_commands(HollowFleet().handle))
