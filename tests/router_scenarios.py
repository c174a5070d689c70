"""Fleets and requests that the tests of several decision modules share."""

from __future__ import annotations

from typing import Any

from cache_router.decisions.events import AttemptStatus, EndpointUpdate, EndpointUpdateKind
from cache_router.decisions.hash_ring import ring_hash
from cache_router.endpoint import Endpoint
from tests.driver import Driver, entry

ASIDE: dict[str, Any] = {"cache_aside": True, "origin_kind": "origin"}
FAILED_CALL = EndpointUpdate(EndpointUpdateKind.FAILED)


def fleet(*names: str) -> list[Endpoint]:
    cells = enumerate(names)
    return [entry(n, zone="xy"[i % 2], cell=i % 2, kind="origin" if n == "o" else "std") for i, n in cells]


def missed(d: Driver, *names: str, key: str = "k") -> None:
    for name in names:
        d.request(name, key=key)
        d.end(name, AttemptStatus.MISS)


def order_of(d: Driver, key: str) -> list[str]:
    """The servers clockwise from a key, each once."""
    r = d.router
    points = list(r.endpoints.ring.points())
    start = next((i for i, (p, _) in enumerate(points) if p >= ring_hash(key)[0]), 0)
    return list(dict.fromkeys(server.endpoint.name for _, server in points[start:] + points[:start]))


def primaries(d: Driver, run: str, count: int = 2000) -> list[str | None]:
    return [d.request(f"{run}{k}", key=f"k{k}", finish=True) for k in range(count)]
