"""The time at which idle connections to a server are closed, and the closer's timer for its next check."""

from __future__ import annotations

import pytest

from cache_router.decisions.action_buffer import ActionBuffer
from cache_router.decisions.actions import Action, CloseIdleConnections, SetTimer
from cache_router.decisions.concurrency_limit import ConcurrencyLimit
from cache_router.decisions.endpoints import EndpointList
from cache_router.decisions.events import EndpointUpdate, EndpointUpdateKind, Timer, TimerKind
from cache_router.decisions.idle_connection_closer import IdleConnectionCloser
from cache_router.decisions.idle_connections import IdleConnections
from tests.support.router_inputs import settings
from tests.support.router_scenarios import fleet

NOW = 100.0
IDLE_TIMEOUT = 30.0  # seconds
CLOCK_RESOLUTION = 0.001  # seconds


class FixedTimeLeft(IdleConnections):
    """Returns the same remaining time for the idle connections to every server."""

    def __init__(self, time_left: float | None) -> None:
        """Set the remaining time in seconds; None means that the connections are kept."""
        super().__init__(settings(), 1.0, NOW)
        self.fixed_time_left = time_left

    def time_until_close(self, concurrency: ConcurrencyLimit, cache_count: int, now: float) -> float | None:
        """Return the fixed time."""
        return self.fixed_time_left


def actions_on_timer(time_left: float | None, server: str = "a") -> list[Action]:
    """Return the closer's actions when the timer of a server fires, in a fleet of "a" and "b"."""
    conf = settings(connection_idle_timeout=IDLE_TIMEOUT, clock_resolution=CLOCK_RESOLUTION)
    endpoints = EndpointList(conf)
    endpoints.apply(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, tuple(fleet("a", "b"))))
    closer = IdleConnectionCloser(conf, endpoints, FixedTimeLeft(time_left), ActionBuffer())
    actions = closer.actions.start_event()
    closer.on_timer(server, NOW)
    return actions


@pytest.mark.parametrize("time_left", [-1.0, 0.0, CLOCK_RESOLUTION / 2])
def test_connections_without_time_left_are_closed(time_left: float) -> None:
    assert actions_on_timer(time_left) == [CloseIdleConnections("a")]


def test_closer_checks_again_when_the_time_is_over() -> None:
    assert actions_on_timer(2.5) == [SetTimer(2.5, Timer(TimerKind.IDLE_CONNECTIONS, "a"))]


@pytest.mark.parametrize("time_left", [None, IDLE_TIMEOUT, IDLE_TIMEOUT + 1])
def test_connections_that_stay_or_that_the_host_closes_first_get_no_timer(time_left: float | None) -> None:
    assert actions_on_timer(time_left) == []


def test_timer_of_a_removed_server_causes_no_action() -> None:
    assert actions_on_timer(-1.0, server="removed") == []
