"""Settings, request classes and endpoint list entries for routers under test."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from cache_router.endpoint import Endpoint
from cache_router.settings import Idempotency, IdempotencyScope, RequestClass, Settings

READ = RequestClass("read", latency_objective=1.0)
KEYED = RequestClass(
    "keyed", 1.0, Idempotency.WITH_KEY, IdempotencyScope.ALL, idempotency_window=1.5, priority_weight=5.0
)
ONCE = RequestClass("once", 1.0, Idempotency.NOT_IDEMPOTENT, priority_weight=5.0)


def settings(**changes: Any) -> Settings:
    """Return settings with a class of each idempotency, hedging, cancellation and up to four attempts.

    `changes` replace their fields.
    """
    base = Settings(
        classes={c.name: c for c in (READ, KEYED, ONCE)},
        hedging_allowed=True,
        cancellation_allowed=True,
        max_attempts=4,
    )
    return replace(base, **changes)


def entry(server: str, **fields: Any) -> Endpoint:
    """Return one entry of an endpoint list, by default with weight 1."""
    fields.setdefault("weight", 1.0)
    return Endpoint(server, **fields)
