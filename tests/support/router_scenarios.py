"""Fleets and request sequences that the tests of several decision modules share."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from cache_router.decisions.events import AttemptStatus, EndpointUpdate, EndpointUpdateKind
from cache_router.decisions.hash_ring import ring_hash
from cache_router.decisions.router import Router
from cache_router.endpoint import Endpoint
from tests.support.driver import Driver
from tests.support.router_inputs import entry, settings

# Settings of a deployment in which the router fetches missing objects from the origin
CACHE_ASIDE: dict[str, Any] = {"cache_aside": True, "origin_kind": "origin"}
FAILED_POLL = EndpointUpdate(EndpointUpdateKind.FAILED)


def fleet(*names: str) -> list[Endpoint]:
    """Return ready servers that alternate between two zones and cells; one named "o" is the origin."""
    kinds = {"o": "origin"}
    return [
        entry(name, zone="xy"[i % 2], cell=i % 2, kind=kinds.get(name, "std")) for i, name in enumerate(names)
    ]


def single_zone_fleet(names: Iterable[str]) -> list[Endpoint]:
    """Return ready caches of weight 1 in one zone and cell."""
    return [entry(name) for name in names]


def started_router(*names: str, now: float, **changes: Any) -> Router:
    """Return a router that has received the list of `fleet(*names)`; `changes` replace its settings."""
    router = Router(settings(**changes), 1, now)
    router.handle(now, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, tuple(fleet(*names))))
    return router


def request_and_miss(driver: Driver, *names: str, key: str = "k") -> None:
    """Send requests for one key; each request is a miss at its cache."""
    for name in names:
        driver.request(name, key=key)
        driver.complete_attempt(name, AttemptStatus.MISS)


def ignore_key_popularity(driver: Driver) -> None:
    """Make the router treat every key as unpopular; it would spread a popular key over more servers."""
    driver.router.selector.popularity.record_request = lambda *_: 0.0  # type: ignore[method-assign]


def servers_clockwise(driver: Driver, key: str) -> list[str]:
    """Return the servers clockwise from a key, without repetition."""
    points = list(driver.router.endpoints.ring.points())
    position = ring_hash(key)[0]
    start = next((i for i, (point, _) in enumerate(points) if point >= position), 0)
    return list(dict.fromkeys(server.endpoint.name for _, server in points[start:] + points[:start]))


def primary_servers(driver: Driver, run: str, count: int = 2000) -> list[str | None]:
    """Return the server of each of the keys k0, k1, ..., determined by requests that are served at once.

    `run` is the prefix of the request names, which must differ between calls.
    """
    return [driver.request(f"{run}{k}", key=f"k{k}", finish=True) for k in range(count)]
