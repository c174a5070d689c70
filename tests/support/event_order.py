"""Helpers that delay, record or await events on loopback, for tests that depend on their order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from cache_router.net.upstream_attempt import UpstreamAttempt
from cache_router.net.upstream_connection import UpstreamConnection
from tests.support.loopback import Peer, PeerConnection
from tests.support.loopback_router import Router


class DelayedConnections:
    """Delays the establishment of connections to some peers until `released` is set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *peers: Peer) -> None:
        """Delay all connections that are opened to `peers` from now on."""
        self.released = asyncio.Event()
        ports = {int(p.address.rpartition(":")[2]) for p in peers}
        connect = asyncio.base_events.BaseEventLoop.create_connection

        async def delayed(loop: Any, factory: Any, host: Any = None, port: Any = None, **others: Any) -> Any:
            result = await connect(loop, factory, host, port, **others)
            if port in ports:
                await self.released.wait()
            return result

        monkeypatch.setattr(asyncio.base_events.BaseEventLoop, "create_connection", delayed)


def record_written_requests(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Return a list to which the id of each request is appended when the router writes it to a server."""
    request_ids: list[str] = []
    send = UpstreamConnection.send

    def recorded(connection: UpstreamConnection, attempt: UpstreamAttempt) -> None:
        request_ids.append(attempt.command.request_id.decode())
        send(connection, attempt)

    monkeypatch.setattr(UpstreamConnection, "send", recorded)
    return request_ids


async def wait_until(condition: Callable[[], object]) -> None:
    """Run the event loop until a condition holds; for conditions that need no further action of the test."""
    while not condition():
        await asyncio.sleep(0)


async def first_connection(router: Router) -> tuple[str, PeerConnection]:
    """Return the name of the cache server to which the router connects first, and the connection."""
    await wait_until(lambda: any(not p.links.empty() for p in router.caches.values()))
    (name,) = (n for n, p in router.caches.items() if not p.links.empty())
    return name, await router.caches[name].accept_connection()
