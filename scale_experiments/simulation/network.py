"""Model of the network: locations of routers and servers, reachability and latency."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from scale_experiments.simulation.model import FleetModel


@dataclass(slots=True, frozen=True)
class Location:
    """A zone and the region that it belongs to."""

    zone: int
    region: int


class NetworkNode(Protocol):
    """Interface of a server to the network."""

    @property
    def location(self) -> Location:
        """Zone and region of the server."""

    @property
    def is_up(self) -> bool:
        """Whether the server is running."""

    @property
    def is_always_reachable(self) -> bool:
        """Whether the server is reachable even if its region or the router's is isolated."""


def location_of(index: int, model: FleetModel) -> Location:
    """Return the location of the router or cache server with this index; zones are assigned round-robin."""
    zone = index % model.zones
    return Location(zone, zone % model.regions)


class Network:
    """The network between the routers and the servers.

    Messages do not pass between an isolated region and other regions, except to servers that are always
    reachable.
    """

    def __init__(self, one_way_latency: tuple[float, float, float]) -> None:
        self._same_zone, self._same_region, self._elsewhere = one_way_latency
        self._isolated_regions: set[int] = set()

    def isolate_region(self, region: int) -> None:
        """Isolate a region from all other regions."""
        self._isolated_regions.add(region)

    def reconnect_regions(self) -> None:
        """End the isolation of all regions."""
        self._isolated_regions.clear()

    def is_reachable(self, router: Location, server: NetworkNode) -> bool:
        """Return whether messages pass between a router and a server now."""
        if not server.is_up:
            return False
        region = server.location.region
        if router.region == region or server.is_always_reachable:
            return True
        return router.region not in self._isolated_regions and region not in self._isolated_regions

    def one_way_latency(self, router: Location, server: Location) -> float:
        """Return the latency of a message in one direction, in seconds."""
        if router.zone == server.zone:
            return self._same_zone
        return self._same_region if router.region == server.region else self._elsewhere
