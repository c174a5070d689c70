"""What the endpoint list keeps of a server, and which servers it holds ready."""

from __future__ import annotations

from cache_router.decisions import concurrency_limit
from cache_router.decisions.events import EndpointUpdateKind
from cache_router.endpoint import EndpointState
from tests.driver import Driver, entry, settings
from tests.router_scenarios import fleet


def test_a_restarted_server_is_learned_anew() -> None:
    """What an earlier process bore, and its silence, say nothing of its successor."""
    driver = Driver(settings())
    driver.update_endpoints(*fleet("a"))
    driver.server("a").concurrency.limit = 1.0
    driver.request("r1")
    driver.update_endpoints(entry("a", started_at=driver.now), kind=EndpointUpdateKind.DELTA)
    assert driver.server("a").concurrency.limit == concurrency_limit.INITIAL_LIMIT
    driver.serve("r1")
    assert driver.server("a").concurrency.in_flight == 0


def test_draining_servers_hold_no_points() -> None:
    driver = Driver(settings())
    driver.update_endpoints(entry("a"), entry("b", state=EndpointState.DRAINING))
    assert {driver.request(f"r{n}", key=f"k{n}", finish=True) for n in range(50)} == {"a"}
