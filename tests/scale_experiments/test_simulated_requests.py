"""State changes of simulated requests and their attempts."""

from __future__ import annotations

import pytest

from cache_router.decisions.events import AttemptStatus, LoadReport
from scale_experiments.simulation.errors import DuplicateAnswerError
from scale_experiments.simulation.network import Location
from scale_experiments.simulation.requests import Attempt, ClientRequest, PendingRequest


class NullSender:
    """A sender that ignores all calls."""

    location = Location(0, 0)

    def close_connection(self, attempt: Attempt) -> None:
        """Ignore the call."""

    def receive_response(self, attempt: Attempt, status: AttemptStatus, load_report: LoadReport) -> None:
        """Ignore the response."""

    def finish(self, attempt: Attempt, status: AttemptStatus, load_report: LoadReport | None = None) -> None:
        """Ignore the result."""


@pytest.fixture
def request_at_router() -> PendingRequest:
    return PendingRequest("r1", NullSender(), ClientRequest("k", False, 1000.0))


def test_attempts_are_numbered_and_in_flight_until_they_finish(request_at_router: PendingRequest) -> None:
    first, second = (request_at_router.start_attempt(name, 1000.0) for name in ("s-1", "s-2"))
    assert (first.number, second.number) == (0, 1)
    assert request_at_router.attempts_in_flight == {0: first, 1: second}
    first.mark_finished()
    assert first.is_finished
    assert request_at_router.attempts_in_flight == {1: second}


def test_a_request_is_done_once_it_is_answered_and_no_attempt_is_in_flight(
    request_at_router: PendingRequest,
) -> None:
    attempt = request_at_router.start_attempt("s-1", 1000.0)
    request_at_router.mark_answered()
    assert not request_at_router.is_done
    attempt.mark_finished()
    assert request_at_router.is_done


def test_a_second_answer_is_an_error(request_at_router: PendingRequest) -> None:
    request_at_router.mark_answered()
    with pytest.raises(DuplicateAnswerError, match="r1"):
        request_at_router.mark_answered()
