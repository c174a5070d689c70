"""Start times of servers on the router's clock, while the system clock is stepped."""

from __future__ import annotations

import pytest

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.endpoint import EndpointState
from cache_router.net.clock import Clock
from cache_router.net.server_start_times import MAX_UNLISTED_STARTS, ServerStartTimes
from cache_router.settings import RequestClass, Settings
from tests.support.loopback_router import network_endpoint

SETTINGS = Settings(classes={"read": RequestClass("read", 1.0)}, slow_start_duration=9.0, must_subscribe=True)
UNIX_TIME = 1_700_000_000.0
LONG_AGO = UNIX_TIME - 86_400.0
CACHED, SNAPSHOT, DELTA = EndpointUpdateKind.CACHED, EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.DELTA


class SteppedClock(Clock):
    """A clock whose times a test sets."""

    def __init__(self, error: float = 0.0) -> None:
        """Create a clock on a machine whose system clock is `error` seconds ahead."""
        self.true_time = UNIX_TIME
        self.error = error
        self._initial_error = error

    def now(self) -> float:
        return self.true_time + self._initial_error

    def system_time(self) -> float:
        return self.true_time + self.error


class Router:
    """The start times of a router with one server, `a`."""

    def __init__(self, clock: SteppedClock, *lists: tuple[EndpointUpdateKind, float]) -> None:
        """Create start times that have received lists: their kind, and the start of `a` in them."""
        self.clock = clock
        self.times = ServerStartTimes(SETTINGS, clock)
        for kind, started_at in lists:
            self.receive(kind, started_at)

    def receive(self, kind: EndpointUpdateKind, started_at: float, name: str = "a") -> float:
        """Return the age of a server according to an update."""
        endpoint = network_endpoint(name, "127.0.0.1:1", started_at=started_at)
        converted = {e.entry.name: e for e in self.times.convert(kind, [endpoint])}
        return self.clock.now() - converted[name].entry.started_at


STEPS = [30.0, -30.0, 3600.0, -3600.0, 3.0, -3.0]


@pytest.mark.parametrize("step", STEPS)
def test_server_that_starts_after_a_step_is_cold(step: float) -> None:
    """Guards against slow start that is skipped once clocks are put right (issue 38)."""
    clock = SteppedClock()
    router = Router(clock, (CACHED, LONG_AGO), (SNAPSHOT, LONG_AGO))
    clock.error += step
    clock.true_time += 1.0
    assert 0.0 <= router.receive(DELTA, clock.true_time - 0.5, "b") <= 0.5


@pytest.mark.parametrize("error", STEPS)
def test_server_that_starts_while_the_clock_is_wrong_is_cold(error: float) -> None:
    clock = SteppedClock(error)
    router = Router(clock, (CACHED, 0.0), (SNAPSHOT, 0.0))
    clock.true_time += 1.0
    age = router.receive(DELTA, clock.true_time - 0.5, "b")
    assert (
        0.0 <= age <= 0.5 + max(0.0, error if error <= SETTINGS.watch_budget.notification_deadline else 0.0)
    )


@pytest.mark.parametrize("error", [30.0, 3600.0])
def test_server_that_started_before_the_router_is_cold_once_the_clock_is_put_right(error: float) -> None:
    clock = SteppedClock(error)
    router = Router(clock, (CACHED, UNIX_TIME - 1.0), (SNAPSHOT, UNIX_TIME - 1.0))
    clock.error = 0.0
    clock.true_time += 1.0
    (corrected,) = router.times.convert(DELTA, [])
    assert clock.now() - corrected.entry.started_at == pytest.approx(2.0)
    assert router.receive(SNAPSHOT, UNIX_TIME - 1.0) == pytest.approx(2.0)


def test_age_counts_from_the_listed_start_while_the_clock_is_right() -> None:
    clock = SteppedClock()
    router = Router(clock, (CACHED, UNIX_TIME - 3.0))
    assert router.receive(SNAPSHOT, UNIX_TIME - 3.0) == pytest.approx(3.0)
    clock.true_time += 2.0
    assert router.receive(DELTA, clock.true_time - 4.0, "b") == pytest.approx(4.0)
    assert router.receive(DELTA, UNIX_TIME - 3.0) == pytest.approx(5.0)


def test_age_is_a_span_of_real_time_after_a_step() -> None:
    clock = SteppedClock()
    router = Router(clock, (CACHED, LONG_AGO), (SNAPSHOT, LONG_AGO))
    started_at = clock.true_time
    router.receive(DELTA, started_at, "b")
    for step in (3600.0, -7200.0, 3600.0):
        clock.error += step
        clock.true_time += 2.0
        assert router.receive(DELTA, started_at, "b") == pytest.approx(clock.true_time - started_at)


@pytest.mark.parametrize("later", [60.0, -60.0])
def test_another_start_is_another_incarnation(later: float) -> None:
    """A server whose own clock was stepped may restart with an earlier start."""
    clock = SteppedClock()
    router = Router(clock, (SNAPSHOT, LONG_AGO))
    clock.true_time += 120.0
    router.receive(DELTA, 0.0)
    before = router.receive(DELTA, LONG_AGO)
    assert router.receive(DELTA, LONG_AGO + later) < before


def test_start_that_is_listed_as_long_ago_is_no_restart() -> None:
    clock = SteppedClock()
    router = Router(clock, (SNAPSHOT, UNIX_TIME - 2.0))
    clock.true_time += 1.0
    assert router.receive(DELTA, 0.0) == pytest.approx(3.0)


def test_server_that_is_listed_again_has_not_restarted() -> None:
    clock = SteppedClock()
    router = Router(clock, (SNAPSHOT, LONG_AGO))
    for _ in range(2):
        clock.true_time += 60.0
        removed = network_endpoint("a", "127.0.0.1:1", started_at=LONG_AGO, state=EndpointState.REMOVED)
        router.times.convert(DELTA, [removed])
        assert router.receive(DELTA, LONG_AGO) == pytest.approx(clock.true_time - LONG_AGO)
        router.times.convert(SNAPSHOT, [])
        assert router.receive(SNAPSHOT, LONG_AGO) == pytest.approx(clock.true_time - LONG_AGO)


def test_listed_starts_are_remembered_however_many_there_are() -> None:
    clock = SteppedClock()
    router = Router(clock, (SNAPSHOT, LONG_AGO))
    names = [f"s{n}" for n in range(2 * MAX_UNLISTED_STARTS)]
    before = [router.receive(DELTA, UNIX_TIME, name) for name in names]
    clock.true_time += 60.0
    assert [router.receive(DELTA, UNIX_TIME, name) for name in names] == [age + 60.0 for age in before]
