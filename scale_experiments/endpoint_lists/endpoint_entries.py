"""Endpoint lists and their entries, in discovery's JSON format."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypedDict

import orjson

IN_SERVICE = "in_service"
TERMINATING = "terminating"
TERMINATED = "terminated"
CACHE_PORT = 6379
GROUP_SIZE = 8  # caches in each group
HOSTS_PER_NETWORK = 250  # addresses used in each /24 network


class EndpointEntry(TypedDict):
    """The entry of one server; `since_ms` is its start time."""

    name: str
    address: str  # host:port
    zone: str
    type: str
    group: int
    status: str
    weight: float
    since_ms: int


class EndpointList(TypedDict):
    """A complete endpoint list, or its changed entries if `snapshot` is false, as discovery sends them."""

    index: int
    snapshot: bool
    endpoints: Sequence[EndpointEntry]


def build_entry(
    name: str, address: str, *, zone: str, server_type: str, group: int, weight: float = 1.0
) -> EndpointEntry:
    """Build the entry of a server in service."""
    return {
        "name": name,
        "address": address,
        "zone": zone,
        "type": server_type,
        "group": group,
        "status": IN_SERVICE,
        "weight": weight,
        "since_ms": 0,
    }


def build_loopback_entries(
    count: int, network: str, zones: Sequence[str], server_type: str
) -> list[EndpointEntry]:
    """Build entries of servers, each with a loopback address of its own.

    `network` is the first two octets of the addresses, such as "127.2".
    """
    return [
        build_entry(
            f"s-{i:08x}",
            f"{network}.{i // HOSTS_PER_NETWORK}.{i % HOSTS_PER_NETWORK + 1}:{CACHE_PORT}",
            zone=zones[i % len(zones)],
            server_type=server_type,
            group=i // GROUP_SIZE,
        )
        for i in range(count)
    ]


def build_snapshot(index: int, entries: Sequence[EndpointEntry]) -> EndpointList:
    """Build a complete endpoint list."""
    return {"index": index, "snapshot": True, "endpoints": entries}


def encode_list(endpoint_list: EndpointList) -> bytes:
    """Encode an endpoint list in discovery's JSON format."""
    return orjson.dumps(endpoint_list)
