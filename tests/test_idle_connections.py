"""When idle connections are closed."""

from __future__ import annotations

import pytest

from cache_router.decisions.actions import Action, CloseIdleConnections
from cache_router.decisions.events import AttemptStatus
from cache_router.decisions.idle_connections import KEEP_SHARE
from cache_router.settings import Settings
from tests.driver import Driver, settings
from tests.router_scenarios import fleet


def test_idle_connections_are_closed_when_they_cost_more_than_new_ones() -> None:
    """Hundreds of routers kept one open at every server, and four attempts in five found the table full."""
    driver = Driver(settings(router_count=500, connection_price=0.03, handshake_price=0.03))
    driver.update_endpoints(*fleet("a", "b"))
    driver.now += 10.0
    driver.request("r0", finish=True)
    for n in range(40):
        driver.request(f"r{n + 1}", key=f"k{n}", finish=True)
    driver.advance(0.1)
    assert isinstance(driver.last_actions[0], CloseIdleConnections)
    few = Driver(settings(router_count=1, connection_price=0.03, handshake_price=0.03))
    few.update_endpoints(*fleet("a", "b"))
    few.request("r", finish=True)
    assert not [a for a in few.last_actions if isinstance(a, CloseIdleConnections)]


class IdleConnectionDriver(Driver):
    """Knows the servers to which a connection is kept."""

    def __init__(self, conf: Settings) -> None:
        super().__init__(conf)
        self.kept: set[str] = set()

    def check_action(self, action: Action) -> None:
        if isinstance(action, CloseIdleConnections):
            self.kept.discard(action.server)
        super().check_action(action)


@pytest.mark.parametrize(("siblings", "most"), [(100, 100.0), (500, 120.0), (5000, 120.0)])
def test_idle_connections_of_a_large_fleet_fit_into_a_table_without_a_price(
    siblings: int, most: float
) -> None:
    """Each router kept one at every server it had met: those of 730 filled a table of 600."""
    driver = IdleConnectionDriver(settings(router_count=siblings))
    driver.update_endpoints(*fleet(*"abcdefgh", "o"))
    at_a_server = []  # kept by a fleet of which this router is the mean
    for n in range(2000):  # two hundred a second
        name = f"r{n}"
        server = driver.request(name, key=f"k{n}")
        assert server is not None
        driver.kept.add(server)
        driver.serve(name)
        driver.advance(0.005)
        at_a_server.append(len(driver.kept) / 9 * siblings)
    mean = sum(at_a_server[200:]) / len(at_a_server[200:])
    assert mean <= most
    if siblings <= 100:  # one of each fits: none is closed
        assert mean == 100.0


def test_refused_connections_shorten_how_long_idle_ones_are_kept() -> None:
    driver = Driver(settings())
    driver.update_endpoints(*fleet("a", "b"))
    driver.request("r")
    driver.complete_attempt("r", AttemptStatus.CONNECT_FAILED)
    assert driver.router.idle_connections.keep_share == KEEP_SHARE / 2
    driver.serve("r")
    assert KEEP_SHARE / 2 < driver.router.idle_connections.keep_share < KEEP_SHARE
