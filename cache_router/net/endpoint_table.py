"""Cache servers and origins with the addresses at which they are reached."""

from __future__ import annotations

from dataclasses import dataclass

from cache_router.endpoint import Endpoint


@dataclass(slots=True, frozen=True)
class NetworkEndpoint:
    """A cache server or origin of this router's own list."""

    entry: Endpoint
    address: str

    @property
    def incarnation(self) -> tuple[str, float]:
        """What tells it from another at the same address, and from itself before a restart."""
        return self.entry.name, self.entry.started_at
