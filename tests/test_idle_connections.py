"""When idle connections are closed."""

from __future__ import annotations

import pytest

from cache_router.decisions import idle_connections
from cache_router.decisions.actions import Action, CloseIdleConnections
from cache_router.decisions.events import AttemptStatus
from cache_router.settings import Settings
from tests.driver import Driver, settings
from tests.router_scenarios import fleet


def test_idle_connections_are_closed_when_they_cost_more_than_new_ones() -> None:
    """Hundreds of routers kept one open at every server, and four attempts in five found the table full."""
    d = Driver(settings(router_count=500, connection_price=0.03, handshake_price=0.03))
    d.list(*fleet("a", "b"))
    d.now += 10.0
    d.request("r0", finish=True)
    for n in range(40):
        d.request(f"r{n + 1}", key=f"k{n}", finish=True)
    d.wait(0.1)
    assert isinstance(d.last[0], CloseIdleConnections)
    few = Driver(settings(router_count=1, connection_price=0.03, handshake_price=0.03))
    few.list(*fleet("a", "b"))
    few.request("r", finish=True)
    assert not [a for a in few.last if isinstance(a, CloseIdleConnections)]


class Keeping(Driver):
    """Knows the servers to which a connection is kept."""

    def __init__(self, conf: Settings) -> None:
        super().__init__(conf)
        self.kept: set[str] = set()

    def check(self, action: Action) -> None:
        if isinstance(action, CloseIdleConnections):
            self.kept.discard(action.server)
        super().check(action)


@pytest.mark.parametrize(("siblings", "most"), [(100, 100.0), (500, 120.0), (5000, 120.0)])
def test_idle_connections_of_a_large_fleet_fit_into_a_table_without_a_price(
    siblings: int, most: float
) -> None:
    """Each router kept one at every server it had met: those of 730 filled a table of 600."""
    d = Keeping(settings(router_count=siblings))
    d.list(*fleet(*"abcdefgh", "o"))
    at_a_server = []  # kept by a fleet of which this router is the mean
    for n in range(2000):  # two hundred a second
        name = f"r{n}"
        server = d.request(name, key=f"k{n}")
        assert server is not None
        d.kept.add(server)
        d.ok(name)
        d.wait(0.005)
        at_a_server.append(len(d.kept) / 9 * siblings)
    mean = sum(at_a_server[200:]) / len(at_a_server[200:])
    assert mean <= most
    if siblings <= 100:  # one of each fits: none is closed
        assert mean == 100.0


def test_refused_connections_shorten_how_long_idle_ones_are_kept() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    d.request("r")
    d.end("r", AttemptStatus.CONNECT_FAILED)
    assert d.router.idle_connections.keep_share == idle_connections.KEEP_SHARE / 2
    d.ok("r")
    assert (
        idle_connections.KEEP_SHARE / 2 < d.router.idle_connections.keep_share < idle_connections.KEEP_SHARE
    )
