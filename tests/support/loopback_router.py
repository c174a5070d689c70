"""A router on loopback, between scripted clients, cache servers and an origin."""

from __future__ import annotations

import asyncio
from functools import partial
from types import TracebackType
from typing import Any, Self

import pytest

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.endpoint import Endpoint
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.client_connection import ClientConnection
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.discovery import Discovery
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.endpoint_table import NetworkEndpoint
from cache_router.net.fair_selector import LoopTurns
from cache_router.net.listener import Listener
from cache_router.net.origin_connection import OriginConnection
from cache_router.settings import Idempotency, IdempotencyScope, RequestClass, Settings, WatchBudget
from tests.support.loopback import Clients, Peer, PeerConnection, encode_hit, encode_read

# An idempotent request class, and one that is idempotent with an idempotency key
READ = RequestClass("read", latency_objective=1.0)
KEYED_WRITE = RequestClass(
    "book", 1.0, Idempotency.WITH_KEY, IdempotencyScope.ALL, idempotency_window=15.0, priority_weight=3.0
)
SETTINGS = Settings(
    classes={"read": READ, "book": KEYED_WRITE},
    cache_aside=True,
    origin_kind="origin",
    cancellation_allowed=True,
    hedging_allowed=True,
    max_attempts=4,
    max_retry_after=2.0,
)


def network_endpoint(name: str, address: str, kind: str = "std", **fields: Any) -> NetworkEndpoint:
    """Return an entry of an endpoint list for a server that is ready and has weight 1."""
    return NetworkEndpoint(Endpoint(name, kind=kind, weight=1.0, **fields), address)


async def read_values(client: PeerConnection, server: Peer, count: int) -> None:
    """Send reads of different keys one after another, and check that the given server receives each."""
    for n in range(count):
        value = b"value %d" % n
        client.write(encode_read(f"r{n}", f"k{n}"))
        await server.serve(encode_hit(value))
        assert await client.read_resp() == value


class Router:
    """A dispatcher with its listener, between the scripted cache servers `a` and `b` and an origin."""

    def __init__(
        self,
        settings: Settings = SETTINGS,
        with_endpoints: bool = True,
        max_clients: int = 16,
        reuse_delay: float = 0.0,
        turns: LoopTurns | None = None,
    ) -> None:
        """Create a router that starts when its context is entered.

        Args:
            settings: settings of the dispatcher.
            with_endpoints: whether the router starts with an endpoint list of all servers.
            max_clients: most connections of clients.
            reuse_delay: seconds after a response before its connection carries the next attempt.
            turns: times of the turns of the event loop.
        """
        self.with_endpoints = with_endpoints
        self.subscriptions = 0
        self.discovery: Discovery | None = None
        self.caches = {"a": Peer(), "b": Peer()}
        self.origin = Peer()
        self.clients = Clients()
        self.cache_pool = ConnectionPool(CacheConnection, 16, 1.0, 60.0, reuse_delay)
        self.origin_pool = ConnectionPool(OriginConnection, 16, 1.0, 60.0, reuse_delay)
        self.dispatcher = Dispatcher(settings, 1, self.cache_pool, self.origin_pool, self._subscribe)
        self.listener = Listener(self.dispatcher, max_clients, turns)

    def _subscribe(self) -> None:
        self.subscriptions += 1
        if self.discovery is not None:
            self.discovery.subscribe()

    def watch(self, agent: Peer, pushed: bool = False, budget: WatchBudget | None = None) -> None:
        """Watch the endpoint list of a discovery agent from now on, in the same way as the program."""
        self.discovery = Discovery(
            agent.address,
            1,
            self.dispatcher.on_endpoint_update,
            self.dispatcher.on_watch_failed,
            pushed,
            budget=budget,
        )
        self.discovery.subscribe()

    async def __aenter__(self) -> Self:
        """Start the servers, and accept clients."""
        for peer in (*self.caches.values(), self.origin):
            await peer.__aenter__()
        if self.with_endpoints:
            self.list_caches("a", "b")
        self.listener.bind(("127.0.0.1", 0))
        self.listener.start()
        return self

    def list_caches(self, *names: str) -> None:
        """Send the dispatcher a complete endpoint list of the origin and the named cache servers."""
        caches = [network_endpoint(n, self.caches[n].address) for n in names]
        origin = network_endpoint("o", self.origin.address, "origin")
        self.dispatcher.on_endpoint_update(EndpointUpdateKind.SNAPSHOT, [*caches, origin])

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Abort the router's connections, stop the router, and close those of clients and servers."""
        for connection in self.listener.open_connections():
            connection.abort()
        await self.listener.stop(0.0, 1.0)
        if self.discovery is not None:
            self.discovery.close()
        self.cache_pool.close()
        self.origin_pool.close()
        await self.clients.__aexit__(kind, error, trace)
        for peer in (*self.caches.values(), self.origin):
            await peer.__aexit__(kind, error, trace)

    async def client(self) -> PeerConnection:
        """Open a client connection, which stays open until the router stops."""
        return await self.clients.connect(self.listener.address)

    def client_connections(self) -> list[ClientConnection]:
        """Return the router's end of the open client connections, in order of acceptance."""
        return [c for c in self.listener.open_connections() if isinstance(c, ClientConnection)]

    async def cache(self) -> PeerConnection:
        """Return the next connection to either cache server."""
        accepts = [asyncio.create_task(p.accept_connection()) for p in self.caches.values()]
        done, pending = await asyncio.wait(accepts, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        return done.pop().result()

    async def start_read(
        self, request: str = "r1", info: str = "c=read,t=x,d=2000"
    ) -> tuple[PeerConnection, PeerConnection]:
        """Start a read, and wait until a cache server receives it.

        Returns:
            The links of the client and of the cache server.
        """
        client = await self.client()
        client.write(encode_read(request, info=info))
        cache = await self.cache()
        assert (await cache.read_resp())[2] == request.encode()
        return client, cache


def router_with(**options: Any) -> pytest.MarkDecorator:
    """Return a marker for tests whose `router` fixture is a `Router` created with `options`."""
    name = ",".join(options)
    return pytest.mark.parametrize("router", [partial(Router, **options)], ids=[name], indirect=True)
