"""Requests without a final answer, and the choice of their final answer."""

from __future__ import annotations

from typing import Any

import pytest

from cache_router.decisions.action_buffer import ActionBuffer
from cache_router.decisions.actions import Action, Cancel, Fail, Reject
from cache_router.decisions.endpoints import EndpointList
from cache_router.decisions.events import AttemptStatus, EndpointUpdate, EndpointUpdateKind, Request
from cache_router.decisions.fleet_health import FleetHealth
from cache_router.decisions.open_requests import OpenRequests
from cache_router.decisions.pending_request import Attempt, PendingRequest
from cache_router.decisions.retry_policy import RetryPolicy
from cache_router.decisions.server import Server
from cache_router.settings import RequestClass
from tests.support.router_inputs import ONCE, READ, entry, settings
from tests.support.router_scenarios import CACHE_ASIDE, fleet


def new_open_requests(**changes: Any) -> OpenRequests:
    """Return the open requests, with their own action buffer, of a router that knows only the origin "o"."""
    conf = settings(**CACHE_ASIDE, **changes)
    endpoints = EndpointList(conf)
    endpoints.apply(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, tuple(fleet("o"))))
    return OpenRequests(conf, endpoints, FleetHealth(), RetryPolicy(conf), ActionBuffer())


def add_request(
    open_requests: OpenRequests,
    statuses: tuple[AttemptStatus | None, ...] = (),
    request_class: RequestClass = READ,
    to_origin: bool = False,
) -> PendingRequest:
    """Add a request "r" with one attempt for each status; None is the status of an attempt in flight."""
    pending = PendingRequest(Request("r", request_class.name, 1.0), request_class, 101.0, to_origin)
    for status in statuses:
        attempt = Attempt(Server(entry("a")), target_latency=0.25, sent_at=100.0)
        pending.add_attempt(attempt)
        if status is not None:
            attempt.complete(status)
    open_requests.add(pending)
    return pending


def test_closed_request_is_neither_found_nor_queued() -> None:
    open_requests = new_open_requests()
    pending = add_request(open_requests)
    pending.mark_queued()
    assert open_requests.find("r") is pending
    open_requests.close(pending)
    assert open_requests.find("r") is None
    assert not pending.is_queued


@pytest.mark.parametrize("is_allowed", [True, False])
def test_close_cancels_open_attempts_where_the_settings_permit_it(is_allowed: bool) -> None:
    open_requests = new_open_requests(cancellation_allowed=is_allowed)
    pending = add_request(open_requests, (None, AttemptStatus.RESET, None))
    actions = open_requests.actions.start_event()
    open_requests.close(pending)
    assert actions == ([Cancel("r", 0), Cancel("r", 2)] if is_allowed else [])


@pytest.mark.parametrize(
    ("request_class", "answer"),
    [(READ, Reject("r")), (ONCE, Fail("r"))],
    ids=["idempotent", "not idempotent"],
)
def test_request_that_may_have_executed_is_failed_unless_it_is_idempotent(
    request_class: RequestClass, answer: Action
) -> None:
    open_requests = new_open_requests()
    pending = add_request(open_requests, (AttemptStatus.TIMEOUT,), request_class)
    actions = open_requests.actions.start_event()
    open_requests.reject_or_fail(pending)
    assert actions == [answer]
    assert not open_requests.by_id


@pytest.mark.parametrize("reason", ["attempt in flight", "response started"])
def test_request_that_may_still_be_served_gets_no_final_answer(reason: str) -> None:
    open_requests = new_open_requests()
    status = None if reason == "attempt in flight" else AttemptStatus.RESET
    pending = add_request(open_requests, (status,))
    if reason == "response started":
        pending.mark_response_started()
    actions = open_requests.actions.start_event()
    open_requests.reject_or_fail(pending)
    assert actions == []
    assert open_requests.find("r") is pending


@pytest.mark.parametrize(("to_origin", "retry_after"), [(True, 0.3), (False, 0.7)])
def test_retry_after_is_the_latency_of_what_the_request_waited_for(
    to_origin: bool, retry_after: float
) -> None:
    open_requests = new_open_requests(max_retry_after=2.0)
    open_requests.endpoints.servers["o"].concurrency.latency = 0.3
    open_requests.health.queueing_latency = 0.7
    pending = add_request(open_requests, to_origin=to_origin)
    actions = open_requests.actions.start_event()
    open_requests.reject_or_fail(pending)
    assert actions == [Reject("r", retry_after)]
