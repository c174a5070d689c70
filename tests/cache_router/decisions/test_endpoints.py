"""What the endpoint list keeps of a server, and which servers it holds ready."""

from __future__ import annotations

from cache_router.decisions import concurrency_limit
from cache_router.decisions.events import EndpointUpdateKind
from cache_router.endpoint import EndpointState
from tests.support.driver import Driver, entry, settings
from tests.support.router_scenarios import fleet


def test_restarted_server_starts_with_a_fresh_state() -> None:
    """The limit and the silence of the earlier process say nothing of the new one."""
    driver = Driver(settings())
    driver.update_endpoints(*fleet("a"))
    driver.server("a").concurrency.limit = 1.0
    driver.request("r1")
    driver.update_endpoints(entry("a", started_at=driver.now), kind=EndpointUpdateKind.DELTA)
    assert driver.server("a").concurrency.limit == concurrency_limit.INITIAL_LIMIT
    driver.serve("r1")
    assert driver.server("a").concurrency.in_flight == 0


def test_draining_server_gets_no_requests() -> None:
    driver = Driver(settings())
    driver.update_endpoints(entry("a"), entry("b", state=EndpointState.DRAINING))
    assert {driver.request(f"r{n}", key=f"k{n}", finish=True) for n in range(50)} == {"a"}
