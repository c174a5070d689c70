"""Where a router sends each key."""

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
from scale_experiments.simulation.model import READ

START = 1000.0  # of the simulated clock; a list's time of 0 means long ago


def place_keys(settings: Settings, entries: Iterable[Endpoint], keys: Iterable[str]) -> Iterator[str]:
    """The server that a router of this list, at rest, sends its first read of each key to."""
    router = Router(settings, 0, START)
    router.handle(START, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, tuple(entries)))
    for number, key in enumerate(keys):
        name = f"place-{number}"
        sends = router.handle(START, Request(name, READ, 1.0, key=key))
        yield next(action.server for action in sends if isinstance(action, Send))
        router.handle(START, AttemptCompleted(name, 0, AttemptStatus.OK, True, 0.05))
