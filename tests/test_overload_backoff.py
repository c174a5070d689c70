"""Backoff from overloaded servers, by their load reports and timeouts."""

from __future__ import annotations

import pytest

from cache_router.decisions.events import AttemptCompleted, AttemptStatus, LoadReport
from tests.driver import Driver, entry, settings


def jam(d: Driver, name: str, service: float = 0.5, waiting: float = 20.0) -> str:
    """A request whose server refuses it as full and tells how much waits there; answers with the server."""
    server = d.request(name, key="k")
    assert server is not None
    d.feed(AttemptCompleted(name, 0, AttemptStatus.REJECTED, False, 0.01, LoadReport(service, waiting)))
    return server


def test_a_server_that_reports_a_jam_rests_until_it_is_served() -> None:
    """All routers sent on to servers whose queues were longer than any deadline; all came too late."""
    d = Driver(settings())
    d.list(*(entry(s) for s in "abcdef"))
    first = jam(d, "r0")
    assert all(d.request(f"r{n}", key="k", finish=True) != first for n in range(1, 6))
    d.now += 1.25 * d.conf.slow_start_duration / 2
    assert any(d.request(f"t{n}", key="k", finish=True) == first for n in range(6))


def test_a_time_out_is_a_report_of_its_own() -> None:
    d = Driver(settings())
    d.list(*(entry(s) for s in "abcdef"))
    first = d.request("r", key="k", time_left=2.0)
    d.now += 1.5
    d.feed(AttemptCompleted("r", 0, AttemptStatus.TIMEOUT, False, 1.5))
    assert d.request("s", key="k", finish=True) != first


def test_a_light_load_lets_no_server_rest() -> None:
    d = Driver(settings())
    d.list(*(entry(s) for s in "abcdef"))
    first = d.request("r", key="k")
    d.feed(AttemptCompleted("r", 0, AttemptStatus.OK, True, 0.2, LoadReport(0.1, 3.0)))
    assert d.request("s", key="k", finish=True) == first


def test_routers_do_not_come_back_in_step() -> None:
    ends = set()
    for seed in range(40):
        d = Driver(settings(), seed=seed)
        d.list(*(entry(s) for s in "abcdef"))
        ends.add(d.router.endpoints.servers[jam(d, "r")].overload.backoff_until)
    assert len(ends) == 40
    assert max(ends) - min(ends) > 1.0


def seconds_between_sends(siblings: int) -> float:
    """The mean time that one router leaves a server alone that is on its way into a jam."""
    pauses = []
    for seed in range(40):
        d = Driver(settings(router_count=siblings), seed=seed)
        d.list(*(entry(s) for s in "abcdef"))
        for n in range(30):  # what a request takes where nothing waits
            d.request(f"u{n}", key=f"u{n}")
            d.feed(AttemptCompleted(f"u{n}", 0, AttemptStatus.OK, True, 0.05, LoadReport(0.05, 0.0)))
        pauses.append(
            d.router.endpoints.servers[jam(d, "r", service=0.15, waiting=16.0)].overload.backoff_until - d.now
        )
    return sum(pauses) / len(pauses)


def test_all_routers_together_send_a_crowded_server_less_than_it_bears() -> None:
    """Each rested it for the one wait that it was told; forty of them still sent twice what it bears."""
    assert 40 / seconds_between_sends(40) < 1.1 / 0.05
    assert seconds_between_sends(3) < 0.5 * seconds_between_sends(40)  # a few routers need no such rest


@pytest.mark.parametrize("siblings", [40, 1000, 7100])
def test_no_fleet_rests_a_server_for_longer_than_it_takes_to_bear_its_all(siblings: int) -> None:
    """A rest of one service time for each router: after a surge of 3 s those of 7,100 rested for minutes."""
    d = Driver(settings(router_count=siblings, slow_start_duration=9.0))
    d.list(*(entry(s) for s in "abcdef"))
    d.router.overload.baseline_service_time = 0.05
    rest = d.router.endpoints.servers[jam(d, "r")].overload.backoff_until - d.now
    assert 0 < rest <= 9.0 * 1.25


def test_a_server_on_its_way_into_a_jam_rests_before_it_is_in_one() -> None:
    d = Driver(settings(router_count=40))
    d.list(*(entry(s) for s in "abcdef"))
    first = jam(d, "r", service=0.15, waiting=12.0)  # 0.6 of the aim
    assert d.request("s", key="k", finish=True) != first
