"""Attempts at servers that a test emulates, and their outcomes."""

from __future__ import annotations

import asyncio
from types import TracebackType
from typing import Self

from cache_router.decisions.events import AttemptStatus
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.command import Command
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.origin_connection import OriginConnection
from cache_router.net.upstream_attempt import UpstreamAttempt, UpstreamResponse
from tests.support.loopback import Peer, PeerConnection

GET = Command(b"C.GET", b"k", b"r1", {"c": "read", "d": "900"}, 900)
OTHER_GET = Command(b"C.GET", b"other", b"r2", {"c": "read", "d": "900"}, 900)
HUGE_SET = Command(b"C.SET", b"k", b"r1", {"c": "book", "d": "900"}, 900, b"x" * 32_000_000)


class AttemptRecorder:
    """Starts attempts, and records their outcomes."""

    def __init__(self, pool: ConnectionPool) -> None:
        """Create a recorder of attempts that use the connections of a pool."""
        self.pool = pool
        self.results: asyncio.Queue[tuple[AttemptStatus, bytes]] = asyncio.Queue()

    async def start_on(self, peer: Peer) -> PeerConnection:
        """Start an attempt, and wait until the peer receives its request."""
        self.start(peer.address)
        link = await peer.accept_connection()
        assert (await link.read_resp())[2] == b"r1"
        return link

    def start(self, address: str, command: Command = GET, incarnation: object = None) -> UpstreamAttempt:
        """Start an attempt with a timeout of 0.5 s, and return it."""
        attempt = UpstreamAttempt(command, 0.5, self._record, is_idempotent=not command.is_write)
        self.pool.start(attempt, address, incarnation)
        return attempt

    def _record(self, response: UpstreamResponse) -> None:
        self.results.put_nowait((response.status, response.value))

    async def outcome(self) -> tuple[AttemptStatus, bytes]:
        """Return the status and value of the next attempt that completes."""
        return await self.results.get()


def info_without_deadline(info: str) -> str:
    """Check the last of an attempt's info fields, the deadline, and return the others."""
    others, _, time_left = info.rpartition(",d=")
    assert 0 < int(time_left) <= 500
    return others


class AttemptRecorders:
    """Creates attempt recorders, and closes the connections of all of them when its context ends."""

    def __init__(self) -> None:
        """Create a context without a recorder."""
        self._recorders: list[AttemptRecorder] = []

    def __enter__(self) -> Self:
        """Return the context itself; recorders are created in it."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Close the connections of all recorders."""
        for recorder in self._recorders:
            recorder.pool.close()

    def on_pool(self, pool: ConnectionPool) -> AttemptRecorder:
        """Return a recorder of attempts that use the connections of a pool."""
        recorder = AttemptRecorder(pool)
        self._recorders.append(recorder)
        return recorder

    def on_origin(self) -> AttemptRecorder:
        """Return a recorder of attempts at an origin; connections may be reused at once."""
        return self.on_pool(ConnectionPool(OriginConnection, 8, 1.0, 60.0, 0.0))

    def on_caches(
        self, max_connections: int = 8, idle_timeout: float = 60.0, connect_timeout: float = 1.0
    ) -> AttemptRecorder:
        """Return a recorder of attempts at cache servers; connections may be reused at once.

        Times are in seconds.
        """
        pool = ConnectionPool(CacheConnection, max_connections, connect_timeout, idle_timeout, 0.0)
        return self.on_pool(pool)
