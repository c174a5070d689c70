"""One entry of the endpoint list: a cache server or an origin member as discovery describes it.

The decisions and the network code share this module. Entries come from discovery's messages and from the
`known` list of a configuration, both read by `net/endpoint_list_reader.py`, and from the simulator's
membership messages.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

# Bounds of a weight, which is relative to the other weights. A weight outside of them is an error, and
# products and powers of it would exceed the range of a float.
MIN_WEIGHT = 1e-6
MAX_WEIGHT = 1e6


def bounded_weight(weight: float) -> float:
    """Clamp a weight to the bounds; return 0, which means unknown, unless it is a positive number."""
    if not weight > 0 or math.isnan(weight):
        return 0.0
    return min(MAX_WEIGHT, max(MIN_WEIGHT, weight))


class EndpointState(Enum):
    """State of a listed server in its life cycle."""

    READY = "ready"
    DRAINING = "draining"  # the server finishes its requests and must not be sent new ones
    REMOVED = "removed"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A listed server; `started_at` distinguishes incarnations that have the same name."""

    name: str
    state: EndpointState = EndpointState.READY
    kind: str = ""  # machine type; the origin's members have a type of their own
    zone: str = ""
    cell: int = 0
    weight: float = 0.0  # relative capacity; 0 if discovery does not know it
    started_at: float = 0.0  # start time in seconds on the router's clock; 0 if it was long ago

    @property
    def is_ready(self) -> bool:
        """Whether the server may be sent new requests."""
        return self.state is EndpointState.READY
