"""Placement of keys: the cache server to which a router without load sends the first read of a key."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from cache_router.decisions.actions import Send
from cache_router.decisions.events import (
    AttemptCompleted,
    AttemptStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    Request,
)
from cache_router.decisions.router import Router
from cache_router.endpoint import Endpoint
from cache_router.settings import Settings
from scale_experiments.simulation.model import READ, START

SERVED_LATENCY = 0.05  # seconds; far below every latency objective


def place_keys(settings: Settings, endpoints: Iterable[Endpoint], keys: Iterable[str]) -> Iterator[str]:
    """Yield, for each key, the name of the server to which a router with these endpoints sends a first read.

    Each read is served before the next one is sent, so that load does not affect the placement.
    """
    router = Router(settings, 0, START)
    router.handle(START, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, tuple(endpoints)))
    for number, key in enumerate(keys):
        request_id = f"place-{number}"
        actions = router.handle(START, Request(request_id, READ, 1.0, key=key))
        yield next(action.server for action in actions if isinstance(action, Send))
        served = AttemptCompleted(request_id, 0, AttemptStatus.OK, True, SERVED_LATENCY)
        router.handle(START, served)
