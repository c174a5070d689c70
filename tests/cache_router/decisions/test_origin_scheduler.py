"""Scheduling of the queue for the origin: capacity, deadlines and timers."""

from __future__ import annotations

import pytest

from cache_router.decisions.actions import Reject, Send, SetTimer
from cache_router.decisions.events import AttemptStatus, Request, Timer, TimerKind
from cache_router.decisions.origin_queue import FETCH_LATENCIES_LEFT
from cache_router.decisions.origin_scheduler import OriginScheduler
from cache_router.decisions.pending_request import PendingRequest
from cache_router.decisions.server import Server
from tests.support.router_inputs import READ
from tests.support.router_scenarios import CACHE_ASIDE, started_router

NOW = 100.0
ORIGIN_LATENCY = 0.2  # seconds
LATEST_START = 1.0 - FETCH_LATENCIES_LEFT * ORIGIN_LATENCY  # seconds after NOW, for a deadline of 1 s


@pytest.fixture
def scheduler() -> OriginScheduler:
    """The scheduler of a router whose origin "o" takes one request at a time, and responds in 0.2 s."""
    router = started_router("a", "o", now=NOW, **CACHE_ASIDE)
    origin = router.endpoints.servers["o"].concurrency
    origin.limit = 1.0
    origin.latency = ORIGIN_LATENCY
    return router.origin_scheduler


def add_read(scheduler: OriginScheduler, request_id: str) -> PendingRequest:
    """Add an open read that missed at a cache, with a deadline of one second."""
    pending = PendingRequest(Request(request_id, "read", 1.0), READ, deadline=NOW + 1.0, to_origin=True)
    scheduler.open_requests.add(pending)
    return pending


def origin_of(scheduler: OriginScheduler) -> Server:
    """Return the only member of the origin."""
    origin = scheduler.endpoints.least_loaded_origin()
    assert origin is not None
    return origin


def complete_at_origin(scheduler: OriginScheduler, request_id: str) -> None:
    """Complete the only attempt of a request with a response of the origin."""
    assert scheduler.sender.complete(request_id, 0, AttemptStatus.OK) is not None
    origin_of(scheduler).concurrency.on_attempt_completed(NOW)


def test_request_is_queued_with_a_timer_until_the_origin_has_capacity(scheduler: OriginScheduler) -> None:
    first, second = add_read(scheduler, "r1"), add_read(scheduler, "r2")
    actions = scheduler.actions.start_event()
    scheduler.enqueue(first, NOW)
    scheduler.enqueue(second, NOW)
    timers = [action for action in actions if isinstance(action, SetTimer)]
    assert [timer.timer for timer in timers] == [Timer(TimerKind.QUEUE_DEADLINE, n) for n in ("r1", "r2")]
    assert [timer.delay for timer in timers] == pytest.approx([LATEST_START, LATEST_START])
    assert [action for action in actions if not isinstance(action, SetTimer)] == [Send("r1", "o")]
    assert (first.is_queued, second.is_queued) == (False, True)
    complete_at_origin(scheduler, "r1")
    actions = scheduler.actions.start_event()
    scheduler.serve(NOW)
    assert actions == [Send("r2", "o")]


def test_busy_origin_is_sent_no_request_that_is_too_late(scheduler: OriginScheduler) -> None:
    origin_of(scheduler).concurrency.limit = 2.0
    scheduler.enqueue(add_read(scheduler, "r1"), NOW)
    actions = scheduler.actions.start_event()
    scheduler.enqueue(add_read(scheduler, "r2"), NOW + LATEST_START + 0.01)
    assert [action for action in actions if not isinstance(action, SetTimer)] == [Reject("r2")]
    assert len(scheduler.queue) == 0


@pytest.mark.parametrize(("seconds", "is_sent"), [(LATEST_START + 0.01, True), (1.0, False)])
def test_idle_origin_is_sent_a_request_until_its_deadline(
    scheduler: OriginScheduler, seconds: float, is_sent: bool
) -> None:
    pending = add_read(scheduler, "r1")
    scheduler.enqueue(pending, NOW + seconds)
    assert bool(pending.attempts) is is_sent
    assert (scheduler.open_requests.find("r1") is not None) is is_sent


def test_overdue_requests_are_rejected_while_the_origin_is_busy(scheduler: OriginScheduler) -> None:
    for name in ("r1", "r2", "r3"):
        scheduler.enqueue(add_read(scheduler, name), NOW)
    actions = scheduler.actions.start_event()
    scheduler.serve(NOW + LATEST_START + 0.01)
    assert actions == [Reject("r2"), Reject("r3")]
    assert len(scheduler.queue) == 0


def test_timer_ends_a_request_when_it_is_due_and_else_is_set_again(scheduler: OriginScheduler) -> None:
    for name in ("r1", "r2"):
        scheduler.enqueue(add_read(scheduler, name), NOW)
    origin_of(scheduler).concurrency.latency = ORIGIN_LATENCY / 2
    actions = scheduler.actions.start_event()
    scheduler.on_deadline_timer("r2", NOW + LATEST_START)
    (timer,) = actions
    assert isinstance(timer, SetTimer)
    assert timer.delay == pytest.approx(FETCH_LATENCIES_LEFT * ORIGIN_LATENCY / 2)
    rounding = scheduler.settings.clock_resolution / 4
    actions = scheduler.actions.start_event()
    scheduler.on_deadline_timer("r2", NOW + LATEST_START + timer.delay - rounding)
    assert actions == [Reject("r2")]


def test_timer_of_a_request_that_was_sent_or_has_ended_does_nothing(scheduler: OriginScheduler) -> None:
    pending = add_read(scheduler, "r1")
    scheduler.enqueue(pending, NOW)
    actions = scheduler.actions.start_event()
    scheduler.on_deadline_timer("r1", NOW + 1.0)
    assert actions == []
    scheduler.open_requests.close(pending)
    actions = scheduler.actions.start_event()
    scheduler.on_deadline_timer("r1", NOW + 1.0)
    assert actions == []
