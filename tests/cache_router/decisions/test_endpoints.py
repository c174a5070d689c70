"""The endpoint list: servers and their incarnations, sizes, points on the ring and readiness."""

from __future__ import annotations

from typing import Any

from cache_router.decisions import concurrency_limit
from cache_router.decisions.endpoints import POINTS_PER_UNIT, EndpointList
from cache_router.decisions.events import EndpointUpdate, EndpointUpdateKind
from cache_router.endpoint import Endpoint, EndpointState
from tests.support.driver import DriverFactory
from tests.support.router_inputs import entry, settings
from tests.support.router_scenarios import fleet


def test_restarted_server_starts_with_a_fresh_state(make_driver: DriverFactory) -> None:
    """The concurrency limit and the silence of the earlier process do not apply to the new one."""
    driver = make_driver(*fleet("a"))
    driver.server("a").concurrency.limit = 1.0
    driver.request("r1")
    driver.update_endpoints(entry("a", started_at=driver.now), kind=EndpointUpdateKind.DELTA)
    assert driver.server("a").concurrency.limit == concurrency_limit.INITIAL_LIMIT
    driver.serve("r1")
    assert driver.server("a").concurrency.in_flight == 0


def test_draining_server_gets_no_requests(make_driver: DriverFactory) -> None:
    driver = make_driver(entry("a"), entry("b", state=EndpointState.DRAINING))
    assert {driver.request(f"r{n}", key=f"k{n}", finish=True) for n in range(50)} == {"a"}


def applied(*endpoints: Endpoint, **changes: Any) -> EndpointList:
    """Return an endpoint list to which one snapshot has been applied."""
    endpoint_list = EndpointList(settings(**changes))
    endpoint_list.apply(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, endpoints))
    return endpoint_list


def sizes(endpoint_list: EndpointList) -> dict[str, float]:
    return {name: server.size for name, server in endpoint_list.servers.items()}


def test_server_without_a_weight_counts_as_one_of_the_largest() -> None:
    endpoint_list = applied(entry("a", weight=3.0), entry("b", weight=1.0), entry("c", weight=0.0))
    assert sizes(endpoint_list) == {"a": 3.0, "b": 1.0, "c": 3.0}
    assert endpoint_list.total_size == 7.0
    assert endpoint_list.ring.size == 96 + 32 + 96  # 128 points per unit, which is 4, the next power of two


def test_sizes_are_one_where_no_weight_is_known() -> None:
    endpoint_list = applied(entry("a", weight=0.0), entry("b", weight=0.0))
    assert sizes(endpoint_list) == {"a": 1.0, "b": 1.0}
    assert endpoint_list.ring.size == 2 * POINTS_PER_UNIT


def test_new_largest_size_resizes_servers_that_did_not_change() -> None:
    endpoint_list = applied(entry("a", weight=1.0), entry("b", weight=0.0))
    endpoint_list.apply(EndpointUpdate(EndpointUpdateKind.DELTA, (entry("c", weight=2.0),)))
    assert sizes(endpoint_list) == {"a": 1.0, "b": 2.0, "c": 2.0}
    assert endpoint_list.ring.size == 64 + 128 + 128


def test_live_weights_give_sizes_and_the_mean_reported_load() -> None:
    endpoint_list = applied(
        entry("a", kind="x", weight=2.0), entry("b", kind="x", weight=2.0), live_weights=True
    )
    assert endpoint_list.mean_reported_load == 0.0
    endpoint_list.apply(EndpointUpdate(EndpointUpdateKind.DELTA, (entry("b", kind="x", weight=0.5),)))
    assert sizes(endpoint_list) == {"a": 2.0, "b": 2.0}
    assert endpoint_list.mean_reported_load == 1.5  # the mean of 0 and 2 / 0.5 - 1


def test_members_of_the_origin_are_not_on_the_ring() -> None:
    endpoint_list = applied(entry("a"), entry("o", kind="origin"), cache_aside=True, origin_kind="origin")
    assert [server.endpoint.name for server in endpoint_list.caches] == ["a"]
    assert [server.endpoint.name for server in endpoint_list.origins] == ["o"]
    assert {server.endpoint.name for _, server in endpoint_list.ring.points()} == {"a"}


def test_empty_delta_changes_nothing() -> None:
    assert applied(entry("a")).apply(EndpointUpdate(EndpointUpdateKind.DELTA)) is False


def test_entry_of_the_same_incarnation_updates_it_and_a_later_start_replaces_it() -> None:
    endpoint_list = applied(entry("a", started_at=5.0))
    first = endpoint_list.servers["a"]
    draining = entry("a", started_at=5.0, state=EndpointState.DRAINING)
    endpoint_list.apply(EndpointUpdate(EndpointUpdateKind.DELTA, (draining,)))
    assert endpoint_list.servers["a"] is first
    assert first.endpoint is draining
    assert endpoint_list.caches == []
    endpoint_list.apply(EndpointUpdate(EndpointUpdateKind.DELTA, (entry("a", started_at=6.0),)))
    assert not endpoint_list.is_listed(first)
