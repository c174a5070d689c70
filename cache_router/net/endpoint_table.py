"""Table of the endpoints that the router knows: their addresses, incarnations and connection pools."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.endpoint import Endpoint, EndpointState
from cache_router.errors import RouterError
from cache_router.net.connection_pool import ConnectionPool


class EndpointUpdateError(RouterError):
    """An endpoint update could not be applied because of a fault of this program."""


class Incarnation(NamedTuple):
    """Identity of one process; it differs for another process at the address, and after a restart."""

    name: str
    started_at: float  # as in `Endpoint.started_at`


@dataclass(slots=True, frozen=True)
class NetworkEndpoint:
    """An entry of the endpoint list, and the `host:port` at which the endpoint is reached."""

    entry: Endpoint
    address: str

    @property
    def incarnation(self) -> Incarnation:
        """The process that the entry names."""
        return Incarnation(self.entry.name, self.entry.started_at)


class EndpointTable:
    """Cache servers and origins by name, and the connection pools of both kinds."""

    def __init__(self, caches: ConnectionPool, origins: ConnectionPool, origin_kind: str | None) -> None:
        """Create an empty table.

        Args:
            caches: Pool of connections to cache servers.
            origins: Pool of connections to origins.
            origin_kind: `Endpoint.kind` of origins; None if the router sends no requests to origins.
        """
        self._caches = caches
        self._origins = origins
        self._origin_kind = origin_kind
        self._endpoints: dict[str, NetworkEndpoint] = {}

    def __len__(self) -> int:
        """Return the number of listed endpoints."""
        return len(self._endpoints)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names of the endpoints."""
        return iter(self._endpoints)

    def __getitem__(self, name: str) -> NetworkEndpoint:
        """Return the endpoint of this name.

        Raises:
            KeyError: No such endpoint is listed.
        """
        return self._endpoints[name]

    def get(self, name: str) -> NetworkEndpoint | None:
        """Return the endpoint of this name, if it is listed."""
        return self._endpoints.get(name)

    def has_ready_cache(self) -> bool:
        """Return whether any cache server may be sent new requests."""
        return any(e.entry.is_ready and self.pool_of(e) is self._caches for e in self._endpoints.values())

    def is_sendable(self, endpoint: NetworkEndpoint) -> bool:
        """Return whether the same incarnation is still listed and may be sent new requests."""
        current = self._endpoints.get(endpoint.entry.name)
        if current is None or not current.entry.is_ready:
            return False
        # The entry is usually the same object, for which the incarnations need not be compared.
        return current is endpoint or current.incarnation == endpoint.incarnation

    def pool_of(self, endpoint: NetworkEndpoint) -> ConnectionPool:
        """Return the pool that holds the connections to an endpoint."""
        return self._origins if endpoint.entry.kind == self._origin_kind else self._caches

    def apply(self, kind: EndpointUpdateKind, endpoints: Iterable[NetworkEndpoint]) -> None:
        """Apply a complete list or changed entries, and close idle connections that became stale."""
        updated = {e.entry.name: None if e.entry.state is EndpointState.REMOVED else e for e in endpoints}
        previous_names = () if kind is EndpointUpdateKind.DELTA else tuple(self._endpoints)
        for name in dict.fromkeys((*previous_names, *updated)):
            # An entry is removed and added again, which moves it to the end of the table.
            old = self._endpoints.pop(name, None)
            new = updated.get(name)
            if new is not None:
                self._endpoints[name] = new
            if old is not None:
                self._close_stale_connections(old, new)

    def close_idle_connections(self, name: str) -> None:
        """Close the idle connections to an endpoint, if it is listed."""
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            self.pool_of(endpoint).close_idle(endpoint.address)

    def _close_stale_connections(self, old: NetworkEndpoint, new: NetworkEndpoint | None) -> None:
        # Such connections would only occupy descriptors: a draining server is sent no new requests, another
        # process may be started at the address, and a failed machine never closes its side.
        if new is None or not new.entry.is_ready or new.incarnation != old.incarnation:
            self.pool_of(old).close_idle(old.address)
