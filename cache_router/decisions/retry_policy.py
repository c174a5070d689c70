"""What the class of a request permits: retries, hedged requests and rejections."""

from __future__ import annotations

from cache_router.endpoint import Endpoint
from cache_router.settings import IdempotencyScope


def recognises_repeats(scope: IdempotencyScope, one: Endpoint, other: Endpoint) -> bool:
    """Whether two servers drop repeats of each other's idempotency keys."""
    if scope is IdempotencyScope.ZONE:
        return one.zone == other.zone
    return scope is IdempotencyScope.ALL or one.cell == other.cell
