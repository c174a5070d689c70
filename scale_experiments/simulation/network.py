"""Where routers and servers are, which of them reach each other, and how long a message takes."""

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
    """A server as the network sees it."""

    @property
    def location(self) -> Location:
        """Where the server is."""

    @property
    def is_up(self) -> bool:
        """Whether the server runs."""

    @property
    def is_always_reachable(self) -> bool:
        """Whether routers of isolated regions reach the server too."""


def location_of(index: int, model: FleetModel) -> Location:
    """The location of a fleet's n-th router or cache server: they are assigned to the zones in turn."""
    zone = index % model.zones
    return Location(zone, zone % model.regions)


class Network:
    """The network between the routers and the servers.

    Routers and cache servers of an isolated region reach only what is in their own region.
    """

    def __init__(self, one_way_latency: tuple[float, float, float]) -> None:
        self._same_zone, self._same_region, self._elsewhere = one_way_latency
        self._isolated_regions: set[int] = set()

    def isolate_region(self, region: int) -> None:
        """Cut a region off from all others."""
        self._isolated_regions.add(region)

    def reconnect_regions(self) -> None:
        """Connect all isolated regions again."""
        self._isolated_regions.clear()

    def is_reachable(self, router: Location, server: NetworkNode) -> bool:
        """Whether messages pass between a router and a server now."""
        if not server.is_up:
            return False
        region = server.location.region
        if router.region == region or server.is_always_reachable:
            return True
        return router.region not in self._isolated_regions and region not in self._isolated_regions

    def one_way_latency(self, router: Location, server: Location) -> float:
        """Seconds that a message takes in one direction."""
        if router.zone == server.zone:
            return self._same_zone
        return self._same_region if router.region == server.region else self._elsewhere
