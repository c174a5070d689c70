"""The idle connections of a pool, in the order in which they became idle."""

from __future__ import annotations

from cache_router.net.upstream_connection import UpstreamConnection


class IdleConnectionSet:
    """Idle connections, ordered by the time at which they became idle, in total and per address."""

    def __init__(self) -> None:
        """Create an empty set."""
        # Both use dicts because sets have no order. `_idle_since` holds the time in seconds at which each
        # connection became idle.
        self._idle_since: dict[UpstreamConnection, float] = {}
        self._by_address: dict[str, dict[UpstreamConnection, None]] = {}

    def __len__(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle_since)

    def add(self, connection: UpstreamConnection, now: float) -> None:
        """Add a connection that has become idle at time `now`, in seconds."""
        self._idle_since[connection] = now
        self._by_address.setdefault(connection.address, {})[connection] = None

    def discard(self, connection: UpstreamConnection) -> None:
        """Remove a connection, if it is idle."""
        if connection in self._idle_since:
            del self._idle_since[connection]
            same_address = self._by_address[connection.address]
            del same_address[connection]
            if not same_address:
                del self._by_address[connection.address]

    def idle_since(self, connection: UpstreamConnection) -> float:
        """Return the time at which an idle connection was added, in seconds.

        Raises:
            KeyError: The connection is not idle.
        """
        return self._idle_since[connection]

    def longest_idle(self) -> UpstreamConnection | None:
        """Return the longest-idle connection; None if no connection is idle."""
        return next(iter(self._idle_since), None)

    def connections_to(self, address: str) -> list[UpstreamConnection]:
        """Return the idle connections to an address, longest idle first."""
        return list(self._by_address.get(address, ()))
