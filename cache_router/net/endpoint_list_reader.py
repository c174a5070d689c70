"""Reads a message of discovery: a list of cache servers, or its changes."""

from __future__ import annotations

from typing import Any

from cache_router.endpoint import Endpoint, EndpointState
from cache_router.net.connection_pool import is_port
from cache_router.net.endpoint_table import NetworkEndpoint

STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}


class EndpointListError(ValueError):
    """A list that can't be used; the message names the field."""


def read_field(table: dict[str, Any], name: str, kind: type | tuple[type, ...], where: str) -> Any:
    """A field of the right type."""
    value = table.get(name)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise EndpointListError(f"{where}{name} is missing or malformed: {str(value)[:40]}")
    return value


def read_endpoint(entry_fields: Any, where: str) -> NetworkEndpoint:
    """One entry."""
    if not isinstance(entry_fields, dict):
        raise EndpointListError(f"{where} is not an object")
    where += "."
    state = read_field(entry_fields, "status", str, where)
    if state not in STATES:
        raise EndpointListError(f"{where}status is unknown: {state[:40]}")
    address = read_field(entry_fields, "address", str, where)
    host, _, port = address.rpartition(":")
    if not host or not is_port(port) or not int(port):
        raise EndpointListError(f"{where}address is not host:port: {address[:40]}")
    endpoint = Endpoint(
        name=read_field(entry_fields, "name", str, where),
        state=STATES[state],
        kind=read_field(entry_fields, "type", str, where),
        zone=read_field(entry_fields, "zone", str, where),
        cell=read_field(entry_fields, "group", int, where),
        weight=max(0.0, read_field(entry_fields, "weight", (int, float), where)),
        # Unix time, as the router's clock
        started_at=read_field(entry_fields, "since_ms", (int, float), where) / 1000,
    )
    return NetworkEndpoint(endpoint, address)


def read_endpoint_list(message: Any, where: str = "") -> tuple[int, bool, list[NetworkEndpoint]]:
    """The version of a list, whether it is whole, and its entries."""
    if not isinstance(message, dict):
        raise EndpointListError(f"{where or 'list'} is not an object")
    where += "." if where else ""
    entries = read_field(message, "endpoints", list, where)
    endpoints = [
        read_endpoint(entry_fields, f"{where}endpoints[{i}]") for i, entry_fields in enumerate(entries)
    ]
    return read_field(message, "index", int, where), read_field(message, "snapshot", bool, where), endpoints
