"""The ring and its primary server by plain search, from the design's formulas."""

from __future__ import annotations

import hashlib

POSITIONS_PER_DIGEST = 8
BYTES_PER_POSITION = 8


def ring_positions(text: str) -> list[int]:
    """The positions on the ring that one BLAKE2b-512 digest gives."""
    digest = hashlib.blake2b(text.encode()).digest()
    return [
        int.from_bytes(digest[i : i + BYTES_PER_POSITION], "big")
        for i in range(0, POSITIONS_PER_DIGEST * BYTES_PER_POSITION, BYTES_PER_POSITION)
    ]


def virtual_node_positions(server: str, count: int) -> list[int]:
    """The first positions of a server's virtual nodes."""
    positions = (p for j in range(count) for p in ring_positions(f"{server}-vnode-{j}"))
    return list(positions)[:count]


def primary_server(key: str, servers: dict[str, int]) -> str:
    """The server of the first virtual node clockwise from a key; `servers` gives the nodes of each."""
    ring = sorted((p, name) for name, count in servers.items() for p in virtual_node_positions(name, count))
    position = ring_positions(key)[0]
    return next((name for p, name in ring if p >= position), ring[0][1])
