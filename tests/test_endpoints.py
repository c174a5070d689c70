"""What the endpoint list keeps of a server, and which servers it holds ready."""

from __future__ import annotations

from cache_router.decisions import concurrency_limit
from cache_router.decisions.events import EndpointUpdateKind
from cache_router.endpoint import EndpointState
from tests.driver import Driver, entry, settings
from tests.router_scenarios import fleet


def test_a_restarted_server_is_learned_anew() -> None:
    """What an earlier process bore, and its silence, say nothing of its successor."""
    d = Driver(settings())
    d.list(*fleet("a"))
    d.router.endpoints.servers["a"].concurrency.limit = 1.0
    d.request("r1")
    d.list(entry("a", started_at=d.now), kind=EndpointUpdateKind.DELTA)
    assert d.router.endpoints.servers["a"].concurrency.limit == concurrency_limit.INITIAL_LIMIT
    d.ok("r1")
    assert d.router.endpoints.servers["a"].concurrency.in_flight == 0


def test_draining_servers_hold_no_points() -> None:
    d = Driver(settings())
    d.list(entry("a"), entry("b", state=EndpointState.DRAINING))
    assert {d.request(f"r{n}", key=f"k{n}", finish=True) for n in range(50)} == {"a"}
