"""The idle connections of one router."""

from __future__ import annotations

from scale_experiments.simulation.connection import SimulatedConnection


class IdleConnections:
    """The idle connections of one router, in the order in which they became idle."""

    __slots__ = ("_all", "_by_server")

    def __init__(self) -> None:
        # Dictionaries used as ordered sets: any connection can be removed in constant time.
        self._all: dict[SimulatedConnection, None] = {}
        self._by_server: dict[str, dict[SimulatedConnection, None]] = {}

    def __len__(self) -> int:
        return len(self._all)

    def add(self, connection: SimulatedConnection, now: float) -> None:
        """Add a connection that has become idle."""
        connection.mark_idle(now)
        self._all[connection] = None
        self._by_server.setdefault(connection.server.name, {})[connection] = None

    def discard(self, connection: SimulatedConnection) -> None:
        """Remove a connection, if it is idle."""
        if not connection.is_idle:
            return
        connection.mark_in_use()
        name = connection.server.name
        at_server = self._by_server[name]
        del self._all[connection]
        del at_server[connection]
        if not at_server:
            del self._by_server[name]

    def longest_idle(self) -> SimulatedConnection | None:
        """Return the connection that has been idle for longest, or None."""
        return next(iter(self._all), None)

    def longest_idle_to(self, server_name: str) -> SimulatedConnection | None:
        """Return the connection to this server that has been idle for longest, or None."""
        return next(iter(self._by_server.get(server_name, ())), None)

    def all(self) -> list[SimulatedConnection]:
        """Return a new list of all idle connections."""
        return list(self._all)

    def to_server(self, server_name: str) -> list[SimulatedConnection]:
        """Return a new list of the idle connections to this server."""
        return list(self._by_server.get(server_name, ()))
