"""Load is shed before queues make every answer late."""

from __future__ import annotations

import random

import pytest

from cache_router.decisions.admission_control import MAX_QUEUEING_SHARE, AdmissionControl
from cache_router.decisions.events import AttemptStatus
from cache_router.decisions.fleet_health import FleetHealth
from cache_router.decisions.server import Server
from tests.support.driver import DriverFactory
from tests.support.router_inputs import entry, settings
from tests.support.router_rules import Outcome


class FixedRandom(random.Random):
    """A generator that draws 0.5 each time."""

    def random(self) -> float:
        """Return the middle of the range from which `random.Random` draws."""
        return 0.5


@pytest.mark.parametrize("live_weights", [True, False])
def test_request_is_shed_when_the_drawn_wait_is_longer_than_its_time_left(live_weights: bool) -> None:
    health = FleetHealth()
    health.queueing_latency = 0.4
    server = Server(entry("a"), reported_load=0.5)
    admission = AdmissionControl(settings(live_weights=live_weights), health, FixedRandom())
    drawn_wait = 0.5 * 0.4 * (0.5 / MAX_QUEUEING_SHARE if live_weights else 1.0)
    assert admission.must_shed(server, drawn_wait - 0.01)
    assert not admission.must_shed(server, drawn_wait + 0.01)


def test_load_is_shed_by_the_reported_queues(make_driver: DriverFactory) -> None:
    """Without load shedding, queues grow during an overload until every answer is late."""
    driver = make_driver(live_weights=True, max_attempts=1)
    names = "abcdefgh"
    driver.update_endpoints(*(entry(n, weight=6.0) for n in names))
    for n in range(40):
        driver.request(f"a{n}", key=f"k{n}")
        driver.complete_attempt(f"a{n}", AttemptStatus.OK, latency=0.1)
    assert Outcome.REJECTED not in [request.outcome for request in driver.requests.values()]
    driver.update_endpoints(*(entry(n, weight=0.2) for n in names))
    sent = [driver.request(f"b{n}", key=f"k{n}") for n in range(400)]
    # 29 queued requests of 0.1 s each; at most 0.25 s of the one second left: about one in eleven is admitted
    assert 10 < sum(s is not None for s in sent) < 80


def test_load_is_shed_by_own_latencies_where_no_load_is_reported(make_driver: DriverFactory) -> None:
    """Without load reports, only the latency of its own attempts shows the router an overload."""
    driver = make_driver(*(entry(f"s{n}") for n in range(30)), max_attempts=1)
    driver.router.health.queueing_latency = 4.0
    sent = [driver.request(f"r{n}", key=f"k{n}") for n in range(200)]
    assert 20 < sum(s is not None for s in sent) < 90  # waits up to 4 s, one second left: admits one in four
