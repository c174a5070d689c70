"""The endpoints that this router knows: their addresses, incarnations and connection pools."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.endpoint import Endpoint, EndpointState
from cache_router.net.connection_pool import ConnectionPool


@dataclass(slots=True, frozen=True)
class NetworkEndpoint:
    """An entry of the endpoint list with the address, as `host:port`, at which it is reached."""

    entry: Endpoint
    address: str

    @property
    def incarnation(self) -> tuple[str, float]:
        """What tells a process from another at the same address, and from itself before a restart."""
        return self.entry.name, self.entry.started_at


class EndpointTable(dict[str, NetworkEndpoint]):
    """Cache servers and origins by name, and the pool of connections to each.

    A dict itself, because every attempt looks up its server here.
    """

    def __init__(self, caches: ConnectionPool, origins: ConnectionPool, origin_kind: str | None) -> None:
        """`origin_kind` is the `Endpoint.kind` of origins; None when the router sends to none itself."""
        super().__init__()
        self._caches = caches
        self._origins = origins
        self._origin_kind = origin_kind

    def has_ready_cache(self) -> bool:
        """Whether any cache server may be sent new requests."""
        return any(e.entry.is_ready and self.pool_of(e) is self._caches for e in self.values())

    def is_sendable(self, endpoint: NetworkEndpoint) -> bool:
        """Whether the same incarnation is still listed and may be sent new requests."""
        current = self.get(endpoint.entry.name)
        if current is None or not current.entry.is_ready:
            return False
        # nearly always the same entry, for which the incarnations need not be computed
        return current is endpoint or current.incarnation == endpoint.incarnation

    def pool_of(self, endpoint: NetworkEndpoint) -> ConnectionPool:
        """The pool that holds the connections to an endpoint."""
        return self._origins if endpoint.entry.kind == self._origin_kind else self._caches

    def apply(self, kind: EndpointUpdateKind, endpoints: Iterable[NetworkEndpoint]) -> None:
        """Take over a complete list or changed entries, and close idle connections that became useless."""
        updated = {e.entry.name: None if e.entry.state is EndpointState.REMOVED else e for e in endpoints}
        unlisted = () if kind is EndpointUpdateKind.DELTA else tuple(self)
        for name in dict.fromkeys((*unlisted, *updated)):
            old = self.pop(name, None)
            new = updated.get(name)
            if new is not None:
                self[name] = new
            if old is not None:
                self._close_useless_connections(old, new)

    def close_idle_connections(self, name: str) -> None:
        """Close the idle connections to an endpoint, if it is listed."""
        endpoint = self.get(name)
        if endpoint is not None:
            self.pool_of(endpoint).close_idle(endpoint.address)

    def _close_useless_connections(self, old: NetworkEndpoint, new: NetworkEndpoint | None) -> None:
        # A draining server is sent nothing new, another process may come to the address, and a machine that
        # vanished never closes its side: such connections would only occupy descriptors.
        if new is None or not new.entry.is_ready or new.incarnation != old.incarnation:
            self.pool_of(old).close_idle(old.address)
