"""A modelled connection of a router to a cache server."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from scale_experiments.simulation.cache_server import CacheServer
    from scale_experiments.simulation.connection_pool import SimulatedConnectionPool


@dataclass(slots=True, eq=False)
class SimulatedConnection:
    """A connection of one router to one cache server. Times are in seconds."""

    pool: SimulatedConnectionPool
    server: CacheServer
    listed_start: float  # of the server's process, from the router's endpoint list
    process_started_at: float = math.inf  # as it is; infinite until the server has accepted the connection
    idle_since: float = 0.0
    is_idle: bool = False
    is_expiry_scheduled: bool = False
    is_open: bool = True
