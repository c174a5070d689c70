"""Slow start of servers while the system clock of the router's machine is stepped."""

from __future__ import annotations

import time

import pytest

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.dispatcher import Dispatcher
from tests.support.loopback_router import SETTINGS, network_endpoint


@pytest.mark.parametrize("error", [30.0, 3600.0, -30.0, -3600.0])
async def test_slow_start_applies_after_the_clock_is_put_right(
    monkeypatch: pytest.MonkeyPatch, error: float
) -> None:
    """Guards against servers that all routers of a machine room overload after a step (issue 38)."""
    true_time = time.time
    monkeypatch.setattr(time, "time", lambda: true_time() + error)
    pools = [ConnectionPool(CacheConnection, 1, 1.0, 1.0) for _ in range(2)]
    dispatcher = Dispatcher(SETTINGS, 1, pools[0], pools[1], lambda: None)
    warm = network_endpoint("warm", "127.0.0.1:1")
    dispatcher.on_endpoint_update(EndpointUpdateKind.SNAPSHOT, [warm])
    monkeypatch.setattr(time, "time", true_time)
    cold = network_endpoint("cold", "127.0.0.1:2", started_at=true_time())
    dispatcher.on_endpoint_update(EndpointUpdateKind.DELTA, [cold])
    router = dispatcher.router
    endpoint = router.endpoints.servers["cold"].endpoint
    assert router.slow_start.is_warming_up(endpoint, router.now)
    assert router.slow_start.usable_share(endpoint, 1.0, router.now) < 0.5
