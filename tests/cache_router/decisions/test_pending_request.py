"""State transitions of a pending request and of its attempts."""

from __future__ import annotations

import pytest

from cache_router.decisions.events import AttemptStatus, Request
from cache_router.decisions.pending_request import Attempt, PendingRequest
from cache_router.decisions.server import Server
from tests.support.router_inputs import READ, entry

EXECUTION_RULED_OUT = {
    AttemptStatus.REJECTED,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.NOT_SENT,
    AttemptStatus.MISS,
}


def new_attempt() -> Attempt:
    """Return an attempt in flight at a cache."""
    return Attempt(Server(entry("a")), target_latency=0.25, sent_at=100.0)


def new_pending_request(deadline: float = 101.0) -> PendingRequest:
    """Return a read for a cache, without attempts."""
    return PendingRequest(Request("r", "read", 1.0), READ, deadline, to_origin=False)


@pytest.mark.parametrize("status", list(AttemptStatus))
def test_completed_attempt_keeps_whether_it_may_have_executed(status: AttemptStatus) -> None:
    attempt = new_attempt()
    assert attempt.is_open
    assert attempt.may_have_executed
    attempt.complete(status)
    assert not attempt.is_open
    assert attempt.may_have_executed is (status not in EXECUTION_RULED_OUT)


def test_attempts_are_numbered_in_the_order_sent() -> None:
    pending = new_pending_request()
    attempts = [new_attempt() for _ in range(3)]
    assert [pending.add_attempt(attempt) for attempt in attempts] == [0, 1, 2]
    attempts[1].complete(AttemptStatus.RESET)
    assert [attempt.is_open for attempt in pending.attempts] == [True, False, True]
    assert pending.has_open_attempts()
    for attempt in (attempts[0], attempts[2]):
        attempt.complete(AttemptStatus.TIMEOUT)
    assert [attempt.is_open for attempt in pending.attempts] == [False, False, False]
    assert not pending.has_open_attempts()


def test_later_deadline_changes_nothing() -> None:
    pending = new_pending_request(deadline=101.0)
    pending.cut_deadline(102.0)
    assert pending.deadline == 101.0
    pending.cut_deadline(100.5)
    assert pending.deadline == 100.5


def test_request_without_retries_left_is_at_its_deadline() -> None:
    pending = new_pending_request(deadline=101.0)
    pending.give_up_retries(100.2)
    assert pending.deadline == 100.2


def test_flags_of_a_request_change_one_at_a_time() -> None:
    pending = new_pending_request()
    pending.mark_queued()
    assert (pending.is_queued, pending.to_origin, pending.response_started) == (True, False, False)
    pending.mark_dequeued()
    pending.redirect_to_origin()
    assert (pending.is_queued, pending.to_origin, pending.response_started) == (False, True, False)
    pending.mark_response_started()
    assert (pending.is_queued, pending.to_origin, pending.response_started) == (False, True, True)
