"""What a request's class permits after an attempt, and the budget of retries."""

from __future__ import annotations

import pytest

from cache_router.decisions.events import AttemptStatus
from cache_router.settings import Idempotency, IdempotencyScope, RequestClass
from tests.driver import Driver, Outcome, entry, settings
from tests.router_scenarios import fleet

MAY_HAVE_RUN = [AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED]
NEVER_RAN = [AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT]


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_unsafe_is_never_resent_nor_refused_once_it_may_have_run(status: AttemptStatus) -> None:
    driver = Driver(settings())
    driver.update_endpoints(*fleet("a", "b", "c"))
    driver.request("r", request_class="once", is_write=True)
    assert driver.complete_attempt("r", status) is None
    assert driver.outcomes["r"] is Outcome.FAILED


@pytest.mark.parametrize("status", NEVER_RAN)
def test_unsafe_is_resent_when_proven_not_to_have_run(status: AttemptStatus) -> None:
    driver = Driver(settings())
    driver.update_endpoints(*fleet("a", "b", "c"))
    first = driver.request("r", request_class="once", is_write=True)
    assert driver.complete_attempt("r", status) not in (None, first)


def test_keyed_is_resent_within_its_window_and_not_after() -> None:
    driver = Driver(settings())
    driver.update_endpoints(*fleet("a", "b", "c"))
    driver.request("r", request_class="keyed", time_left=3.0)
    assert driver.complete_attempt("r", AttemptStatus.RESET) is not None
    late = Driver(settings())
    late.update_endpoints(*fleet("a", "b", "c"))
    late.request("r", request_class="keyed", time_left=3.0)
    late.now += 1.6
    assert late.complete_attempt("r", AttemptStatus.RESET) is None


@pytest.mark.parametrize("group", [IdempotencyScope.ZONE, IdempotencyScope.CELL])
def test_keyed_stays_within_its_group_and_is_then_failed(group: IdempotencyScope) -> None:
    kind = RequestClass("keyed", 2.0, Idempotency.WITH_KEY, group, idempotency_window=1.5)
    for key in map(str, range(20)):
        driver = Driver(settings(classes={"keyed": kind}))
        driver.update_endpoints(*fleet("a", "b", "c", "d"))
        first = driver.request("r", request_class="keyed", time_left=3.0, key=key)
        second = driver.complete_attempt("r", AttemptStatus.RESET)
        assert {first, second} in ({"a", "c"}, {"b", "d"})
        assert driver.complete_attempt("r", AttemptStatus.RESET) is None
        assert driver.outcomes["r"] is Outcome.FAILED


def test_retries_are_bounded_by_what_was_taken() -> None:
    """Failing servers made every request into many attempts and fed the overload."""
    driver = Driver(settings())
    driver.update_endpoints(*fleet("a", "b", "c", "d"))
    for n in range(200):
        driver.request(f"r{n}", key=f"k{n}")
        while driver.has_attempt_in_flight(f"r{n}"):
            driver.complete_attempt(f"r{n}", AttemptStatus.RESET)
        driver.now += 0.01
    assert sum(map(len, driver.servers_tried.values())) <= 200 * 1.2 + 11


def test_refusals_as_full_spend_no_retries() -> None:
    """Small waiting rooms turned a third of attempts away; requests were refused beside servers with room."""
    driver = Driver(settings())
    driver.update_endpoints(*fleet("a", "b", "c", "d"))
    driver.router.retry_budget.tokens = 0.0
    first = driver.request("r", key="k")
    assert driver.complete_attempt("r", AttemptStatus.REJECTED) not in (None, first)
    driver.router.retry_budget.tokens = 0.0
    assert driver.complete_attempt("r", AttemptStatus.RESET) is None


def test_refusals_as_full_spend_retries_when_all_is_full() -> None:
    """In an overload nine attempts in ten were refused as full, and five went out for each request."""
    driver = Driver(settings())
    driver.update_endpoints(*fleet("a", "b", "c", "d"))
    driver.request("r", key="k")
    driver.router.retry_budget.tokens, driver.router.health.success_rate = 0.0, 0.2
    assert driver.complete_attempt("r", AttemptStatus.REJECTED) is None
    assert driver.outcomes["r"] is Outcome.REJECTED


def test_an_error_of_a_fetch_is_not_tried_elsewhere() -> None:
    """With a failing origin each error sent the key to another server, which fetched it again."""
    driver = Driver(settings())
    driver.update_endpoints(*fleet("a", "b"))
    driver.request("r")
    assert driver.complete_attempt("r", AttemptStatus.ERROR) is None
    assert driver.outcomes["r"] is Outcome.REJECTED


def test_a_refused_connection_spends_no_retry() -> None:
    driver = Driver(settings())
    driver.update_endpoints(*(entry(s) for s in "abcdef"))
    driver.router.retry_budget.tokens = 0.0
    driver.request("r", key="k")
    assert driver.complete_attempt("r", AttemptStatus.CONNECT_FAILED) is not None
