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

    Routers and cache servers of `isolated_regions` reach only what is in their own region.
    """

    def __init__(self, one_way_latency: tuple[float, float, float]) -> None:
        self.same_zone, self.same_region, self.elsewhere = one_way_latency
        self.isolated_regions: set[int] = set()

    def is_reachable(self, router: Location, server: NetworkNode) -> bool:
        """Whether messages pass between a router and a server now."""
        if not server.is_up:
            return False
        region = server.location.region
        if router.region == region or server.is_always_reachable:
            return True
        return router.region not in self.isolated_regions and region not in self.isolated_regions

    def one_way_latency(self, router: Location, server: Location) -> float:
        """Seconds that a message takes in one direction."""
        if router.zone == server.zone:
            return self.same_zone
        return self.same_region if router.region == server.region else self.elsewhere
