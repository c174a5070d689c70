"""Servers that fail in a row or refuse connections are ejected."""

from __future__ import annotations

import pytest

from cache_router.decisions import concurrency_limit, events, outlier_detection
from cache_router.decisions.events import AttemptStatus
from tests.driver import Driver, entry, settings
from tests.router_scenarios import fleet, order_of


def failing(d: Driver, server: str, times: int, status: AttemptStatus = AttemptStatus.CONNECT_FAILED) -> None:
    """Requests of a key of the server's, each attempt on it failing and the next, elsewhere, served."""
    for _ in range(times):
        name = f"f{d.router.idle_connections.request_count}"
        if d.request(name, key="k") == server:
            d.end(name, status)
        if name in d.open:
            d.ok(name)


@pytest.mark.parametrize("status", events.FAILED)
def test_a_server_that_fails_in_a_row_is_left_out_for_a_while(status: AttemptStatus) -> None:
    """Each of its keys' requests went there first and spent a retry, until none were left for anybody."""
    d = Driver(settings())
    d.list(*fleet("a", "b", "c"))
    d.router.selector.popularity.count = lambda *_: 0.0  # type: ignore[method-assign]  # as hot a key would be spread
    first, second, _ = order_of(d, "k")
    d.router.endpoints.servers[first].concurrency.limit = 40.0
    failing(d, first, outlier_detection.CONSECUTIVE_FAILURES, status)
    assert (
        d.router.endpoints.servers[first].concurrency.limit <= concurrency_limit.INITIAL_LIMIT
    )  # it may come back cold
    assert d.request("r1", key="k", finish=True) == second
    d.now += outlier_detection.MIN_EJECTION_TIME
    assert [d.request(f"t{n}", key="k") for n in "12"] == [first, second]  # one to try it by
    d.end("t1", status)
    d.now += outlier_detection.MIN_EJECTION_TIME
    assert d.request("r2", key="k", finish=True) == second  # twice as long
    d.now += outlier_detection.MIN_EJECTION_TIME
    assert d.request("r3", key="k", finish=True) == first
    assert [d.request(f"r{n}", key="k") for n in "45"] == [first, first]


def test_failures_now_and_then_take_no_server_out() -> None:
    """Spoilt answers come from any server alike: each taken out sends its keys where they are not held."""
    d = Driver(settings())
    d.list(*fleet("a", "b", "c"))
    d.router.selector.popularity.count = lambda *_: 0.0  # type: ignore[method-assign]
    first, *_ = order_of(d, "k")
    for n in range(8):
        failing(d, first, outlier_detection.CONSECUTIVE_FAILURES - 1, AttemptStatus.ERROR)
        assert d.request(f"r{n}", key="k", finish=True) == first


def test_no_more_than_half_the_fleet_is_left_out() -> None:
    """When all fail it is hardly the servers, and those left could not bear the load of the others."""
    d = Driver(settings())
    d.list(*fleet("a", "b", "c", "d"))
    for server in d.router.endpoints.servers.values():
        for _ in range(2 * outlier_detection.CONSECUTIVE_FAILURES):
            d.router.feedback.detect_outlier(server, AttemptStatus.ERROR, d.router.now)
    assert sum(s.failures.ejected_until > d.now for s in d.router.endpoints.servers.values()) == 2


def test_one_refused_connection_takes_a_server_out() -> None:
    """Each router met each server that had gone three times, seconds apart, before it went round it."""
    d = Driver(settings())
    d.list(*(entry(s) for s in "abcdef"))
    gone = d.request("r", key="k")
    assert gone is not None
    assert d.end("r", AttemptStatus.CONNECT_FAILED) not in (None, gone)
    assert d.router.endpoints.servers[gone].failures.ejected_until > d.now


def test_absent_servers_are_left_out_however_many_they_are() -> None:
    """With most of an old list gone the counts began anew all the time, and nobody was ever left out."""
    d = Driver(settings())
    d.list(*(entry(s) for s in "abcd"))
    for server in d.router.endpoints.servers.values():
        for _ in range(3):
            d.router.now += 2 * outlier_detection.MIN_EJECTION_TIME
            d.router.feedback.detect_outlier(server, AttemptStatus.CONNECT_FAILED, d.router.now)
    now = d.router.now
    assert d.router.endpoints.servers["a"].failures.ejection_time > outlier_detection.MIN_EJECTION_TIME
    last = d.router.endpoints.servers["d"]
    # beyond half of them never for longer
    assert now < last.failures.ejected_until <= now + outlier_detection.MIN_EJECTION_TIME
