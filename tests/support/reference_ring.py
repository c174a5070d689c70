"""Reference implementation of the hash ring: the formulas of the design, with a linear search."""

from __future__ import annotations

import hashlib

POSITIONS_PER_DIGEST = 8
BYTES_PER_POSITION = 8


def ring_positions(text: str) -> list[int]:
    """Return the positions on the ring that are contained in one BLAKE2b-512 digest."""
    digest = hashlib.blake2b(text.encode()).digest()
    return [
        int.from_bytes(digest[i : i + BYTES_PER_POSITION], "big")
        for i in range(0, POSITIONS_PER_DIGEST * BYTES_PER_POSITION, BYTES_PER_POSITION)
    ]


def virtual_node_positions(server: str, count: int) -> list[int]:
    """Return the positions of the first `count` virtual nodes of a server."""
    positions = (p for j in range(count) for p in ring_positions(f"{server}-vnode-{j}"))
    return list(positions)[:count]


def primary_server(key: str, servers: dict[str, int]) -> str:
    """Return the server of the first virtual node clockwise from a key.

    `servers` holds the number of virtual nodes of each server.
    """
    ring = sorted((p, name) for name, count in servers.items() for p in virtual_node_positions(name, count))
    position = ring_positions(key)[0]
    return next((name for p, name in ring if p >= position), ring[0][1])
