"""Model of a connection between a router and a cache server."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

from scale_experiments.simulation.network import NetworkNode


class ConnectedServer(NetworkNode, Protocol):
    """Interface of the cache server at the other end of a connection."""

    @property
    def name(self) -> str:
        """Name of the server in the endpoint list."""

    def connection_closed(self) -> None:
        """Count a connection that was closed."""


@dataclass(slots=True, eq=False)
class SimulatedConnection:
    """A connection of one router to one cache server. Times are in seconds."""

    server: ConnectedServer
    listed_start: float  # start time of the server's process in the router's endpoint list
    # Actual start time of the process that accepted the connection; infinite until it is accepted.
    process_started_at: float = math.inf
    idle_since: float = 0.0
    is_idle: bool = False
    is_expiry_scheduled: bool = False
    is_open: bool = True

    def mark_accepted(self, process_started_at: float) -> None:
        """Record that a process of the server, started at this time, has accepted the connection."""
        self.process_started_at = process_started_at

    def mark_idle(self, now: float) -> None:
        """Record that the connection carries no attempt."""
        self.idle_since, self.is_idle = now, True

    def mark_in_use(self) -> None:
        """Record that the connection is no longer idle."""
        self.is_idle = False

    def mark_expiry_scheduled(self) -> None:
        """Record that a check of the idle timeout is scheduled."""
        self.is_expiry_scheduled = True

    def mark_expiry_checked(self) -> None:
        """Record that the scheduled check of the idle timeout has run."""
        self.is_expiry_scheduled = False

    def mark_closed(self) -> None:
        """Close the router's end, and notify the server if it had accepted the connection."""
        self.is_open = False
        if self.process_started_at < math.inf:
            self.server.connection_closed()
