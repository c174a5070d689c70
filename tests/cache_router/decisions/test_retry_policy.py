"""Retries that a request's class permits after an attempt, and the retry budget."""

from __future__ import annotations

import pytest

from cache_router.decisions.events import AttemptStatus, Request
from cache_router.decisions.pending_request import Attempt, PendingRequest
from cache_router.decisions.retry_policy import (
    CHEAP_FAILURES,
    FREE_RETRY_SUCCESS_RATE,
    MAX_SAVED_RETRIES,
    RETRIES_PER_REQUEST,
    RetryBudget,
    RetryPolicy,
)
from cache_router.decisions.server import Server
from cache_router.settings import Idempotency, IdempotencyScope, RequestClass
from tests.support.driver import DriverFactory
from tests.support.router_inputs import entry, settings
from tests.support.router_rules import Outcome
from tests.support.router_scenarios import fleet, single_zone_fleet

MAY_HAVE_EXECUTED = [AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED]
NOT_EXECUTED = [AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT]


@pytest.mark.parametrize("status", MAY_HAVE_EXECUTED)
def test_non_idempotent_request_that_may_have_executed_is_failed(
    make_driver: DriverFactory, status: AttemptStatus
) -> None:
    driver = make_driver(*fleet("a", "b", "c"))
    driver.request("r", request_class="once", is_write=True)
    assert driver.complete_attempt("r", status) is None
    assert driver.outcome("r") is Outcome.FAILED


@pytest.mark.parametrize("status", NOT_EXECUTED)
def test_non_idempotent_request_that_was_not_executed_is_retried(
    make_driver: DriverFactory, status: AttemptStatus
) -> None:
    driver = make_driver(*fleet("a", "b", "c"))
    first = driver.request("r", request_class="once", is_write=True)
    assert driver.complete_attempt("r", status) not in (None, first)


@pytest.mark.parametrize(("seconds", "is_retried"), [(0.0, True), (1.6, False)])
def test_request_with_key_is_retried_within_its_idempotency_window_only(
    make_driver: DriverFactory, seconds: float, is_retried: bool
) -> None:
    """The idempotency window of the class is 1.5 s."""
    driver = make_driver(*fleet("a", "b", "c"))
    driver.request("r", request_class="keyed", time_left=3.0)
    driver.now += seconds
    assert (driver.complete_attempt("r", AttemptStatus.RESET) is not None) is is_retried


@pytest.mark.parametrize("scope", [IdempotencyScope.ZONE, IdempotencyScope.CELL])
def test_request_with_key_is_retried_within_its_idempotency_scope_only(
    make_driver: DriverFactory, scope: IdempotencyScope
) -> None:
    with_key = RequestClass("keyed", 2.0, Idempotency.WITH_KEY, scope, idempotency_window=1.5)
    for key in map(str, range(20)):
        driver = make_driver(*fleet("a", "b", "c", "d"), classes={"keyed": with_key})
        first = driver.request("r", request_class="keyed", time_left=3.0, key=key)
        second = driver.complete_attempt("r", AttemptStatus.RESET)
        assert {first, second} in ({"a", "c"}, {"b", "d"})
        assert driver.complete_attempt("r", AttemptStatus.RESET) is None
        assert driver.outcome("r") is Outcome.FAILED


def test_idempotency_scope_is_that_of_the_server_when_the_attempt_was_sent() -> None:
    """A later list may have another zone for its name: the retry was executed where its key is not known."""
    with_key = RequestClass("keyed", 2.0, Idempotency.WITH_KEY, IdempotencyScope.ZONE, idempotency_window=1.5)
    policy = RetryPolicy(settings(classes={"keyed": with_key}))
    first = Server(entry("a", zone="x"), is_cache=True)
    pending = PendingRequest(Request("r", "keyed", 1.0), with_key, deadline=1.0, to_origin=False)
    pending.add_attempt(Attempt(first, target_latency=1.0, sent_at=0.0))
    first.update_endpoint(entry("a", zone="y"))
    assert policy.permits_attempt(pending, Server(entry("b", zone="x"), is_cache=True), now=0.1)
    assert not policy.permits_attempt(pending, Server(entry("c", zone="y"), is_cache=True), now=0.1)


@pytest.mark.parametrize(
    ("tokens", "is_taken", "left"), [(2.5, True, 1.5), (1.0, True, 0.0), (0.9, False, 0.0)]
)
def test_token_is_taken_only_where_a_complete_one_is_left(tokens: float, is_taken: bool, left: float) -> None:
    budget = RetryBudget(tokens)
    assert budget.has_token() is is_taken
    assert budget.take_token() is is_taken
    assert budget.tokens == left


def test_requests_add_to_the_retry_budget_up_to_its_bound() -> None:
    budget = RetryBudget(0.0)
    budget.on_request()
    assert budget.tokens == pytest.approx(RETRIES_PER_REQUEST)
    for _ in range(1000):
        budget.on_request()
    assert budget.tokens == MAX_SAVED_RETRIES


@pytest.mark.parametrize("status", list(AttemptStatus))
def test_only_cheap_failures_are_retried_without_a_token(status: AttemptStatus) -> None:
    budget = RetryBudget(0.0)
    assert budget.take_for_retry(status, FREE_RETRY_SUCCESS_RATE) is (status in CHEAP_FAILURES)
    assert not budget.take_for_retry(status, FREE_RETRY_SUCCESS_RATE - 0.01)


def test_retries_are_a_bounded_share_of_the_requests(make_driver: DriverFactory) -> None:
    """Without the bound, failing servers turn every request into many attempts, which add to the overload."""
    driver = make_driver(*fleet("a", "b", "c", "d"))
    for n in range(200):
        driver.request(f"r{n}", key=f"k{n}")
        while driver.has_attempt_in_flight(f"r{n}"):
            driver.complete_attempt(f"r{n}", AttemptStatus.RESET)
        driver.now += 0.01
    assert sum(len(request.attempts) for request in driver.requests.values()) <= 200 * 1.2 + 11


def test_retry_after_a_rejection_is_free(make_driver: DriverFactory) -> None:
    """Servers with short queues reject many attempts while other servers still have capacity."""
    driver = make_driver(*fleet("a", "b", "c", "d"))
    driver.router.retry_budget.tokens = 0.0
    first = driver.request("r", key="k")
    assert driver.complete_attempt("r", AttemptStatus.REJECTED) not in (None, first)
    driver.router.retry_budget.tokens = 0.0
    assert driver.complete_attempt("r", AttemptStatus.RESET) is None


def test_retry_after_a_rejection_takes_a_token_when_most_attempts_fail(make_driver: DriverFactory) -> None:
    """In an overload most attempts are rejected; free retries would turn each request into five attempts."""
    driver = make_driver(*fleet("a", "b", "c", "d"))
    driver.request("r", key="k")
    driver.router.retry_budget.tokens, driver.router.health.success_rate = 0.0, 0.2
    assert driver.complete_attempt("r", AttemptStatus.REJECTED) is None
    assert driver.outcome("r") is Outcome.REJECTED


def test_error_response_is_not_retried_at_another_cache(make_driver: DriverFactory) -> None:
    """While the origin fails, another cache would fetch the key from it again, and fail as well."""
    driver = make_driver(*fleet("a", "b"))
    driver.request("r")
    assert driver.complete_attempt("r", AttemptStatus.ERROR) is None
    assert driver.outcome("r") is Outcome.REJECTED


def test_retry_after_a_failed_connect_is_free(make_driver: DriverFactory) -> None:
    driver = make_driver(*single_zone_fleet("abcdef"))
    driver.router.retry_budget.tokens = 0.0
    driver.request("r", key="k")
    assert driver.complete_attempt("r", AttemptStatus.CONNECT_FAILED) is not None
