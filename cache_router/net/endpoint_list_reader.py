"""Reads the messages of discovery: a complete endpoint list, or only its changed entries."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeVar

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.endpoint import Endpoint, EndpointState, bounded_weight
from cache_router.errors import RouterError
from cache_router.net.address import AddressError, parse_address
from cache_router.net.endpoint_table import NetworkEndpoint

# State of an endpoint for each `status` that discovery sends.
STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
MAX_QUOTED_LENGTH = 40  # maximum number of characters of a malformed value in an error message
log = logging.getLogger(__name__)

FieldType = TypeVar("FieldType")


class EndpointListError(RouterError, ValueError):
    """An endpoint list that can't be used; the error message names the malformed field."""


@dataclass(slots=True, frozen=True)
class EndpointListMessage:
    """An endpoint list or a change of it, as read from a message of discovery."""

    index: int  # version of the list; each discovery counts its own versions
    is_snapshot: bool  # whether the list is complete; otherwise it has only the changed entries
    endpoints: list[NetworkEndpoint]

    @property
    def update_kind(self) -> EndpointUpdateKind:
        """Kind of update: a complete list replaces the one that the router has, changed entries do not."""
        return EndpointUpdateKind.SNAPSHOT if self.is_snapshot else EndpointUpdateKind.DELTA


def read_endpoint_list(message: object, path: str = "") -> EndpointListMessage:
    """Read and validate a decoded message.

    `path` is the path of the field that contains the message, empty for a message on its own.

    Raises:
        EndpointListError: The message or an entry is malformed; the error names the path of the field.
    """
    if not isinstance(message, dict):
        raise EndpointListError(f"{path or 'list'} is not an object")
    prefix = f"{path}." if path else ""
    entries = _read_field(message, "endpoints", list, prefix)
    endpoints = [_read_endpoint(fields, f"{prefix}endpoints[{i}]") for i, fields in enumerate(entries)]
    index = _read_field(message, "index", int, prefix)
    is_snapshot = _read_field(message, "snapshot", bool, prefix)
    return EndpointListMessage(index, is_snapshot, endpoints)


def _read_endpoint(fields: object, path: str) -> NetworkEndpoint:
    """Read an entry of a list; `path` is its path in the message."""
    if not isinstance(fields, dict):
        raise EndpointListError(f"{path} is not an object")
    prefix = f"{path}."
    state = _read_state(fields, prefix)
    address = _read_address(fields, prefix)
    endpoint = Endpoint(
        name=_read_field(fields, "name", str, prefix),
        state=state,
        kind=_read_field(fields, "type", str, prefix),
        zone=_read_field(fields, "zone", str, prefix),
        cell=_read_field(fields, "group", int, prefix),
        weight=_read_weight(fields, prefix),
        # Converted from milliseconds to seconds of Unix time, which the router's clock also uses.
        started_at=_read_number(fields, "since_ms", prefix) / 1000,
    )
    return NetworkEndpoint(endpoint, address)


def _read_state(fields: Mapping[str, object], prefix: str) -> EndpointState:
    status = _read_field(fields, "status", str, prefix)
    if status not in STATES:
        raise EndpointListError(f"{prefix}status is unknown: {status[:MAX_QUOTED_LENGTH]}")
    return STATES[status]


def _read_weight(fields: Mapping[str, object], prefix: str) -> float:
    """Read the weight of an entry; one out of range is bounded, so that the rest of the list applies."""
    listed_weight = _read_number(fields, "weight", prefix)
    weight = bounded_weight(listed_weight)
    if listed_weight not in (weight, 0):
        log.warning(
            "endpoint %.40s: weight %g is out of range, using %g", fields["name"], listed_weight, weight
        )
    return weight


def _read_address(fields: Mapping[str, object], prefix: str) -> str:
    address = _read_field(fields, "address", str, prefix)
    if not _is_connectable(address):
        raise EndpointListError(
            f"{prefix}address is not of the form host:port: {address[:MAX_QUOTED_LENGTH]}"
        )
    return address


def _is_connectable(address: str) -> bool:
    """Return whether an address is `host:port` with a port other than 0, which no server listens on."""
    try:
        _, port = parse_address(address)
    except AddressError:
        return False
    return port != 0


def _read_field(fields: Mapping[str, object], name: str, kind: type[FieldType], prefix: str) -> FieldType:
    """Read a field that must be of type `kind`; `prefix` is the path to the field, for errors."""
    value = fields.get(name)
    # In Python a bool is an int, in JSON it is not.
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise _malformed_field(name, value, prefix)
    return value


def _read_number(fields: Mapping[str, object], name: str, prefix: str) -> float:
    value = fields.get(name)
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise _malformed_field(name, value, prefix)
    return value


def _malformed_field(name: str, value: object, prefix: str) -> EndpointListError:
    return EndpointListError(f"{prefix}{name} is missing or malformed: {str(value)[:MAX_QUOTED_LENGTH]}")
