"""Servers that are gone and still listed: their connections are refused."""

from __future__ import annotations

from cache_router.decisions import outlier_detection
from cache_router.decisions.events import AttemptStatus
from tests.driver import Driver, entry, settings


def test_one_refused_connection_takes_a_server_out() -> None:
    """Each router met each server that had gone three times, seconds apart, before it went round it."""
    d = Driver(settings())
    d.list(*(entry(s) for s in "abcdef"))
    gone = d.request("r", key="k")
    assert gone is not None
    assert d.end("r", AttemptStatus.CONNECT_FAILED) not in (None, gone)
    assert d.router.endpoints.servers[gone].failures.ejected_until > d.now


def test_a_refused_connection_spends_no_retry() -> None:
    d = Driver(settings())
    d.list(*(entry(s) for s in "abcdef"))
    d.router.retry_budget.tokens = 0.0
    d.request("r", key="k")
    assert d.end("r", AttemptStatus.CONNECT_FAILED) is not None


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
