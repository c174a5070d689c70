"""One entry of the endpoint list: a cache server or an origin member as discovery describes it.

Shared by the decisions and the network code. Source: the `endpoints` of discovery's messages and of a
configuration's `known` list (`net/endpoint_list_reader.py`), and the simulator's membership lines.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

# Weights are compared with each other. Beyond these bounds they are errors, and products and powers of them
# would leave the range of a float.
MIN_WEIGHT = 1e-6
MAX_WEIGHT = 1e6


def bounded_weight(weight: float) -> float:
    """A weight within the bounds; 0, and what is less, means that it is not known."""
    if not weight > 0 or math.isnan(weight):
        return 0.0
    return min(MAX_WEIGHT, max(MIN_WEIGHT, weight))


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
