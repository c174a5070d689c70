"""Attempts on servers that a test plays, and how they end."""

from __future__ import annotations

import asyncio

from cache_router.decisions.events import AttemptStatus
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.command import Command
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.upstream_connection import AttemptInFlight, UpstreamResponse
from tests.loopback import Link, Peer

GET = Command(b"C.GET", b"k", b"r1", {"c": "read", "d": "900"}, 900)
HUGE = Command(b"C.SET", b"k", b"r1", {"c": "book", "d": "900"}, 900, b"x" * 32_000_000)


class Ends:
    """Starts attempts and collects how they end."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.results: asyncio.Queue[tuple[AttemptStatus, bytes]] = asyncio.Queue()

    async def begun(self, peer: Peer) -> Link:
        """An attempt that the peer has in hand."""
        self.start(peer.address)
        link = await peer.link()
        assert (await link.resp())[2] == b"r1"
        return link

    def start(self, address: str, command: Command = GET) -> AttemptInFlight:
        return self.pool.start(address, command, 0.5, self.note)

    def note(self, response: UpstreamResponse) -> None:
        self.results.put_nowait((response.status, response.value))

    async def end(self) -> tuple[AttemptStatus, bytes]:
        return await self.results.get()


def told(info: str) -> str:
    """The names and values of an attempt ahead of the time that it tells, which is at most what was left."""
    others, _, time_left = info.rpartition(",d=")
    assert 0 < int(time_left) <= 500
    return others


def caches(budget: int = 8, idle: float = 60.0, dial: float = 1.0) -> Ends:
    return Ends(ConnectionPool(CacheConnection, budget, dial, idle, 0.0))
