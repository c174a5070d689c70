"""Invariants of a router under long random sequences of all its events.

`test_router_properties.py` draws short sequences without changes of discovery's address, shutdowns, load
reports, outages or polls in flight. It cannot reveal any of the faults described in `docs/incidents/`.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from cache_router.decisions.actions import Action, SetTimer, SubscribeToEndpoints
from cache_router.decisions.concurrency_limit import MAX_SAMPLE_FACTOR
from cache_router.decisions.events import (
    AttemptCompleted,
    AttemptStatus,
    DiscoveryAddressChanged,
    EndpointUpdateKind,
    Event,
    LoadReport,
    ResponseStarted,
    ShutdownStarted,
    Timer,
    TimerFired,
    TimerKind,
)
from cache_router.decisions.fleet_health import SMOOTHING
from cache_router.decisions.retry_policy import MAX_SAVED_RETRIES
from cache_router.endpoint import Endpoint, EndpointState, bounded_weight
from cache_router.settings import IdempotencyScope, RequestClass, Settings
from cache_router.simulator_wire import read_timer
from tests.cache_router.decisions.test_router_properties import request_classes
from tests.support.driver import Driver
from tests.support.router_inputs import settings
from tests.support.router_rules import Outcome
from tests.support.router_scenarios import CACHE_ASIDE, FAILED_POLL

SEEDS = range(40)
EVENT_COUNT = 600
SERVERS = "abcdefo"
LONG_OUTAGE_POLLS = 1100  # consecutive failed polls
SHUTDOWN_TIME = 1.0  # seconds
SETTLE_TIME = 60.0  # seconds after which nothing is in flight and no timer of a request is set
LISTED_WEIGHTS = [0.0, -1.0, 0.2, 1.0, 1.0, 3.0, 1e308, 5e-324]
SERVICE_TIMES = [0.0, 0.01, 0.05, 0.3, 1e297]  # seconds
LATENCIES = [0.0, 0.01, 0.05, 0.5, 2.0, 599.0]
QUEUE_LENGTHS = [0.0, 0.5, 3.0, 40.0, 1e300]
TIME_STEPS = [0.0, 0.001, 0.02, 0.1, 0.5, 2.0]


class SequenceDriver(Driver):
    """A driver that draws events, and tracks the polls of the watch as a host does."""

    def __init__(self, conf: Settings, seed: int) -> None:
        """Start a router that has not polled discovery yet."""
        self.is_polling = False
        self.fires_polls_early = False  # whether poll timers fire before they are due
        self.poll_due = 0.0  # time at which the latest poll timer is due
        super().__init__(conf, seed)
        self.random = random.Random(seed)
        self.request_count = 0

    def handle(self, event: Event) -> list[Action]:
        """Give the router one event, and check the invariants that hold after every event."""
        baseline = self.router.overload.baseline_service_time
        if isinstance(event, DiscoveryAddressChanged):
            self.is_polling = not self.settings.must_subscribe  # otherwise the router requests the poll
        actions = super().handle(event)
        polls = sum(isinstance(action, SubscribeToEndpoints) for action in actions)
        assert polls + self.is_polling <= 1, "a poll is started while another is in flight"
        self.is_polling |= polls > 0
        if isinstance(event, TimerFired) and polls and not self.fires_polls_early:
            assert self.now >= self.poll_due - self.settings.clock_resolution, (
                "a poll is started before its backoff has passed"
            )
        for action in actions:
            if isinstance(action, SetTimer) and action.timer.kind is TimerKind.ENDPOINT_POLL:
                self.poll_due = self.now + action.delay
        self.check_state(baseline)
        return actions

    def check_state(self, baseline_before: float) -> None:
        """Check that there is at most one poll or poll timer, and that budgets and means are in bounds."""
        router = self.router
        assert self.is_polling + len(router.subscription.timers) <= 1, "more than one poll or poll timer"
        assert 0 <= router.retry_budget.tokens <= MAX_SAVED_RETRIES
        assert 0 <= router.health.success_rate <= 1
        longest = max(each.client_timeout for each in self.settings.classes.values())
        assert 0 <= router.health.queueing_latency <= longest
        shortest_objective = min(each.latency_objective for each in self.settings.classes.values())
        largest_step = 1 + SMOOTHING * (MAX_SAMPLE_FACTOR - 1)
        bound = largest_step * baseline_before or SMOOTHING * shortest_objective
        assert 0 <= router.overload.baseline_service_time <= bound * (1 + 1e-9)

    def step(self) -> None:
        """Draw one event, and give it to the router."""
        steps: list[Callable[[], None]] = [
            *[self.draw_request] * 5,
            *[self.draw_completion] * 6,
            *[self.draw_time] * 3,
            *[self.draw_update] * 2,
            *[self.fail_poll] * 2,
            self.draw_disconnect,
            self.start_response,
            self.change_address,
        ]
        self.random.choice(steps)()

    def draw_request(self) -> None:
        """Draw a request of any class, with any time left."""
        self.request_count += 1
        self.request(
            f"r{self.request_count}",
            request_class=self.random.choice(sorted(self.settings.classes)),
            time_left=self.random.choice([0.0, 0.01, 0.8, 2.0, 600.0]),
            key=self.random.choice([None, "k1", "k2", "k3"]),
            is_write=self.random.random() < 0.2,
        )

    def draw_completion(self) -> None:
        """Draw the end of an attempt, with or without a load report."""
        if not self.in_flight:
            return
        name, number = self.random.choice(list(self.in_flight))
        status = self.random.choice(list(AttemptStatus))
        self.rules.record_completion(name, number, status)
        is_final = status is AttemptStatus.OK or name not in self.open_requests
        if is_final and name in self.open_requests:
            self.rules.record_outcome(name, Outcome.SERVED)
        report = LoadReport(self.random.choice(SERVICE_TIMES), self.random.choice(QUEUE_LENGTHS))
        latency = self.random.choice(LATENCIES)
        has_report = self.random.random() < 0.5
        self.handle(AttemptCompleted(name, number, status, is_final, latency, report if has_report else None))

    def draw_time(self) -> None:
        """Draw a time step, and give the router every event that is due in it."""
        self.advance(self.random.choice(TIME_STEPS))

    def draw_update(self) -> None:
        """Draw an endpoint update if a poll is in flight."""
        if not self.is_polling:
            return
        kind = self.random.choice([EndpointUpdateKind.DELTA, EndpointUpdateKind.SNAPSHOT])
        names = self.random.sample(SERVERS, self.random.randint(0, len(SERVERS)))
        self.update_endpoints(*(self.draw_endpoint(name) for name in names), kind=kind)

    def draw_endpoint(self, name: str) -> Endpoint:
        """Draw an entry of the endpoint list, with a weight bounded as by the reader of the list."""
        return Endpoint(
            name,
            state=self.random.choice(
                [EndpointState.READY] * 3 + [EndpointState.DRAINING, EndpointState.REMOVED]
            ),
            kind="origin" if name == "o" else self.random.choice(["std", "large"]),
            zone=self.random.choice("xy"),
            cell=self.random.randint(0, 1),
            weight=bounded_weight(self.random.choice(LISTED_WEIGHTS)),
            started_at=self.random.choice([0.0, self.now, self.now - 1.0]),
        )

    def fail_poll(self) -> None:
        """Fail the poll in flight, and rarely also the many polls of a long outage."""
        if not self.is_polling:
            return
        calls = LONG_OUTAGE_POLLS if self.random.random() < 0.01 else 1
        self.fires_polls_early = calls > 1
        for _ in range(calls):
            self.is_polling = False
            self.handle(FAILED_POLL)
            if self.fires_polls_early:
                self.fire_poll_timers()
        self.fires_polls_early = False

    def fire_poll_timers(self) -> None:
        """Fire all poll timers now: only the latest may start a poll, as the earlier ones are void."""
        tokens = [timer for timer in self.timers if read_timer(timer[1]) == Timer(TimerKind.ENDPOINT_POLL)]
        for timer in tokens:
            self.timers.remove(timer)
        for _, token in tokens:
            fired = read_timer(token)
            assert fired is not None
            self.handle(TimerFired(fired))
        assert self.is_polling

    def draw_disconnect(self) -> None:
        """Disconnect a random client."""
        if self.open_requests:
            self.disconnect(self.random.choice(sorted(self.open_requests)))

    def start_response(self) -> None:
        """Start the response of an attempt in half of the cases, and complete that attempt with success."""
        served = [(name, n) for name, n in self.in_flight if name in self.open_requests]
        if not served or self.random.random() < 0.5:
            return
        name, number = self.random.choice(served)
        self.handle(ResponseStarted(name, number))
        self.complete_attempt(name, AttemptStatus.OK, number)

    def shut_down(self) -> None:
        """Shut down the router; attempts still in flight at the end of the shutdown time out."""
        self.handle(ShutdownStarted(SHUTDOWN_TIME))
        self.advance(SHUTDOWN_TIME)
        while self.in_flight:
            name, number = next(iter(self.in_flight))
            self.complete_attempt(name, AttemptStatus.TIMEOUT, number)

    def change_address(self) -> None:
        """Change the address of discovery, as a reload on SIGHUP does."""
        self.handle(DiscoveryAddressChanged())


def draw_settings(generator: random.Random) -> Settings:
    """Draw the settings of a site."""
    classes = request_classes(generator.choice(list(IdempotencyScope)))
    classes["short"] = RequestClass("short", 0.05, client_timeout=0.1)
    return settings(
        classes=classes,
        hedging_allowed=generator.random() < 0.5,
        cancellation_allowed=generator.random() < 0.5,
        live_weights=generator.random() < 0.5,
        must_subscribe=generator.random() < 0.5,
        max_attempts=generator.choice([1, 3, 6]),
        router_count=generator.choice([1, 4, 200, 7100]),
        connection_price=generator.choice([0.0, 0.03]),
        handshake_price=0.03,
        overload_window=generator.choice([0.001, 1.0, 2.0]),
        slow_start_duration=generator.choice([0.001, 4.0, 9.0]),
        **(CACHE_ASIDE if generator.random() < 0.5 else {}),
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_state_holds_and_settles_under_any_sequence_of_events(seed: int) -> None:
    driver = SequenceDriver(draw_settings(random.Random(seed)), seed)
    driver.update_endpoints(*(driver.draw_endpoint(name) for name in SERVERS), kind=EndpointUpdateKind.CACHED)
    driver.is_polling = True  # where updates are pushed, the host starts the first poll itself
    for _ in range(EVENT_COUNT):
        driver.step()
    driver.shut_down()
    driver.advance(SETTLE_TIME)
    router = driver.router
    assert not driver.open_requests
    assert not router.pending
    assert not router.attempts
    assert router.queue.pop() is None
    assert not router.sender.timers
    assert not router.origin_scheduler.timers
    assert len(router.idle_connection_closer.timers) <= len(router.endpoints.servers)
    assert all(server.concurrency.in_flight == 0 for server in router.endpoints.servers.values())
