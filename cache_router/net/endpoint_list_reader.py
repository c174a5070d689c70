"""Reads the messages of discovery: a complete endpoint list, or the entries of one that have changed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.endpoint import Endpoint, EndpointState
from cache_router.errors import RouterError
from cache_router.net.address import AddressError, parse_address
from cache_router.net.endpoint_table import NetworkEndpoint

# discovery's words for the state of an endpoint
STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
MAX_QUOTED = 40  # characters of a malformed value that an error repeats


class EndpointListError(RouterError, ValueError):
    """An endpoint list that can't be used; the message names the field."""


@dataclass(slots=True, frozen=True)
class EndpointListMessage:
    """One message of discovery."""

    index: int  # the version of the list; each discovery counts its own
    is_snapshot: bool  # whether the list is complete, and not just what has changed
    endpoints: list[NetworkEndpoint]

    @property
    def update_kind(self) -> EndpointUpdateKind:
        """How the message relates to the list already held."""
        return EndpointUpdateKind.SNAPSHOT if self.is_snapshot else EndpointUpdateKind.DELTA


def read_field(table: dict[str, Any], name: str, kind: type | tuple[type, ...], where: str) -> Any:
    """A field of the right type; raises `EndpointListError`, which begins with `where`."""
    value = table.get(name)
    # a bool is an int in Python, but not in JSON
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise EndpointListError(f"{where}{name} is missing or malformed: {str(value)[:MAX_QUOTED]}")
    return value


def is_connectable(address: str) -> bool:
    """Whether an address is `host:port` with a port that a server can listen on."""
    try:
        _, port = parse_address(address)
    except AddressError:
        return False
    return port != 0


def read_endpoint(fields: Any, where: str) -> NetworkEndpoint:
    """One entry of a list; `where` is its place in the message. Raises `EndpointListError`."""
    if not isinstance(fields, dict):
        raise EndpointListError(f"{where} is not an object")
    where += "."
    state = read_field(fields, "status", str, where)
    if state not in STATES:
        raise EndpointListError(f"{where}status is unknown: {state[:MAX_QUOTED]}")
    address = read_field(fields, "address", str, where)
    if not is_connectable(address):
        raise EndpointListError(f"{where}address is not host:port: {address[:MAX_QUOTED]}")
    endpoint = Endpoint(
        name=read_field(fields, "name", str, where),
        state=STATES[state],
        kind=read_field(fields, "type", str, where),
        zone=read_field(fields, "zone", str, where),
        cell=read_field(fields, "group", int, where),
        weight=max(0.0, read_field(fields, "weight", (int, float), where)),
        # Unix time, as the router's clock
        started_at=read_field(fields, "since_ms", (int, float), where) / 1000,
    )
    return NetworkEndpoint(endpoint, address)


def read_endpoint_list(message: Any, where: str = "") -> EndpointListMessage:
    """Check a decoded message; `where` is the field that held it. Raises `EndpointListError`."""
    if not isinstance(message, dict):
        raise EndpointListError(f"{where or 'list'} is not an object")
    where += "." if where else ""
    entries = read_field(message, "endpoints", list, where)
    endpoints = [read_endpoint(fields, f"{where}endpoints[{i}]") for i, fields in enumerate(entries)]
    index = read_field(message, "index", int, where)
    is_snapshot = read_field(message, "snapshot", bool, where)
    return EndpointListMessage(index, is_snapshot, endpoints)
