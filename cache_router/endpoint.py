"""One entry of the endpoint list: a cache server or an origin member as discovery describes it.

Shared by the decisions and the network code. Source: the `endpoints` of discovery's messages and of a
configuration's `known` list (`net/endpoint_list_reader.py`), and the simulator's membership lines.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """The life cycle of a listed server."""

    READY = "ready"
    DRAINING = "draining"  # finishes its requests and must not be sent new ones
    REMOVED = "removed"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A listed server; `started_at` distinguishes the incarnations under one name."""

    name: str
    state: EndpointState = EndpointState.READY
    kind: str = ""  # type of machine; one of them marks the origin's members
    zone: str = ""
    cell: int = 0
    weight: float = 0.0  # relative capacity; 0 if discovery does not know it
    started_at: float = 0.0  # seconds on the router's clock; 0 if long ago

    @property
    def is_ready(self) -> bool:
        """Whether it may be sent new requests."""
        return self.state is EndpointState.READY
