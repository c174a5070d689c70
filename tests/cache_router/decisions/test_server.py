"""The state of one server: the size and load derived from its live weight, and its slow-start quota."""

from __future__ import annotations

import pytest

from cache_router.decisions.server import Server
from tests.support.router_inputs import entry


@pytest.mark.parametrize(("live_weight", "load"), [(2.0, 0.0), (1.0, 1.0), (0.5, 3.0)])
def test_live_weight_gives_the_reported_load(live_weight: float, load: float) -> None:
    server = Server(entry("a", weight=live_weight))
    server.record_live_weight(2.0)
    assert server.size == 2.0
    assert server.reported_load == pytest.approx(load)


def test_unknown_live_weight_reports_no_load() -> None:
    """The previously reported load must not stay in effect."""
    server = Server(entry("a", weight=0.5))
    server.record_live_weight(2.0)
    server.update_endpoint(entry("a", weight=0.0))
    server.record_live_weight(2.0)
    assert server.reported_load == 0.0
    assert server.size == 2.0


def test_server_keeps_the_quota_that_it_was_granted() -> None:
    server = Server(entry("a", started_at=1.0))
    quota = server.grant_slow_start_quota(0.25)
    assert server.slow_start_quota is quota
    assert quota.offset == 0.25


def test_servers_with_equal_endpoints_are_not_equal() -> None:
    """Two incarnations of a server are distinguished by object identity."""
    assert Server(entry("a")) != Server(entry("a"))
