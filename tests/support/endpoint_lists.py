"""Endpoint lists as discovery sends them, and a watch that records what it receives."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.net.discovery import Discovery, UpdateCallback
from cache_router.net.endpoint_table import NetworkEndpoint
from cache_router.settings import WatchBudget
from tests.support.loopback import Peer, PeerConnection

ENDPOINT_ENTRY: dict[str, Any] = {
    "name": "s-1",
    "address": "127.0.0.9:6379",
    "zone": "a",
    "type": "m2",
    "group": 3,
    "status": "in_service",
    "weight": 1.5,
    "since_ms": 1_790_000_000_250,
}


def peer_entry(name: str, peer: Peer, **fields: Any) -> dict[str, Any]:
    """Return the entry of a server that a test emulates; it is ready, of kind `std` and started long ago."""
    return {**ENDPOINT_ENTRY, "name": name, "address": peer.address, "type": "std", "since_ms": 0, **fields}


def encode_endpoint_list(index: int, is_snapshot: bool, *entries: dict[str, Any]) -> bytes:
    """Encode an endpoint list as discovery sends it; without `is_snapshot`, it holds changed entries only."""
    return orjson.dumps({"index": index, "snapshot": is_snapshot, "endpoints": entries})


class WatchRecorder:
    """Records the updates of a watch in the order received; a failure is recorded as None."""

    def __init__(
        self, peer: Peer, budget: WatchBudget | None = None, on_update: UpdateCallback | None = None
    ) -> None:
        """Watch the list of a peer from index 41 on; `on_update`, if given, replaces the recording."""
        self.updates: asyncio.Queue[tuple[EndpointUpdateKind, list[NetworkEndpoint]] | None] = asyncio.Queue()
        self.discovery = Discovery(
            peer.address,
            41,
            on_update or (lambda kind, endpoints: self.updates.put_nowait((kind, endpoints))),
            lambda _: self.updates.put_nowait(None),
            budget=budget,
        )
        self.discovery.subscribe()

    async def next_update(self) -> tuple[EndpointUpdateKind, list[NetworkEndpoint]]:
        """Return the next update; fail the test when the watch has failed instead."""
        update = await self.updates.get()
        assert update is not None, "the watch has failed"
        return update


async def accept_poll(peer: Peer) -> tuple[str, PeerConnection]:
    """Accept the next poll of a watch; return its request line and its connection."""
    link = await peer.accept_connection()
    return (await link.read_http())[0], link
