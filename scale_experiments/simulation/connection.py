"""A modelled connection of a router to a cache server."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

from scale_experiments.simulation.network import NetworkNode


class ConnectedServer(NetworkNode, Protocol):
    """What a connection needs of the cache server at its other end."""

    @property
    def name(self) -> str:
        """The name in the endpoint list."""

    def connection_closed(self) -> None:
        """Count one connection less."""


@dataclass(slots=True, eq=False)
class SimulatedConnection:
    """A connection of one router to one cache server. Times are in seconds."""

    server: ConnectedServer
    listed_start: float  # of the server's process, from the router's endpoint list
    # actual start of the process that accepted the connection; infinite until then
    process_started_at: float = math.inf
    idle_since: float = 0.0
    is_idle: bool = False
    is_expiry_scheduled: bool = False
    is_open: bool = True

    def mark_accepted(self, process_started_at: float) -> None:
        """Record that a process of the server, started at this time, has accepted the connection."""
        self.process_started_at = process_started_at

    def mark_idle(self, now: float) -> None:
        """Record that no attempt uses the connection any more."""
        self.idle_since, self.is_idle = now, True

    def mark_in_use(self) -> None:
        """Record that the connection is no longer idle."""
        self.is_idle = False

    def mark_expiry_scheduled(self) -> None:
        """Record that a check of the idle time is scheduled."""
        self.is_expiry_scheduled = True

    def mark_expiry_checked(self) -> None:
        """Record that the scheduled check of the idle time took place."""
        self.is_expiry_scheduled = False

    def mark_closed(self) -> None:
        """Close this end, and report it to the server if the server had accepted the connection."""
        self.is_open = False
        if self.process_started_at < math.inf:
            self.server.connection_closed()
