"""The events that make the router subscribe to the endpoint list, and its reaction to a failure."""

from __future__ import annotations

import random

import pytest

from cache_router.decisions.action_buffer import ActionBuffer
from cache_router.decisions.actions import LogMessage, SetTimer, SubscribeToEndpoints
from cache_router.decisions.endpoint_polling import EndpointPoller
from cache_router.decisions.events import Timer, TimerKind
from cache_router.decisions.subscription import EndpointSubscription
from cache_router.settings import MIN_BACKOFF
from tests.support.router_inputs import settings

NOW = 100.0


def new_subscription(must_subscribe: bool) -> EndpointSubscription:
    """Return a subscription with its own action buffer."""
    conf = settings(must_subscribe=must_subscribe)
    return EndpointSubscription(conf, EndpointPoller(conf, random.Random(1), NOW), ActionBuffer())


@pytest.mark.parametrize("must_subscribe", [True, False])
def test_router_subscribes_after_a_cached_list_where_updates_are_not_pushed(must_subscribe: bool) -> None:
    subscription = new_subscription(must_subscribe)
    actions = subscription.actions.start_event()
    subscription.on_update(is_cached=True, now=NOW)
    assert actions == [SubscribeToEndpoints()] * must_subscribe


def test_update_of_a_running_watch_causes_no_action() -> None:
    subscription = new_subscription(must_subscribe=True)
    actions = subscription.actions.start_event()
    subscription.on_update(is_cached=False, now=NOW)
    assert actions == []


@pytest.mark.parametrize("must_subscribe", [True, False])
def test_failure_sets_a_poll_timer_and_counts_failures_in_the_log(must_subscribe: bool) -> None:
    subscription = new_subscription(must_subscribe)
    for failures in (1, 2):
        actions = subscription.actions.start_event()
        subscription.on_failure("127.0.0.1:8500", NOW)
        timer, log = actions
        assert isinstance(timer, SetTimer)
        assert timer.timer == Timer(TimerKind.ENDPOINT_POLL)
        assert timer.delay >= MIN_BACKOFF
        assert log == LogMessage(f"discovery 127.0.0.1:8500: {failures} consecutive failures")
    actions = subscription.actions.start_event()
    subscription.on_poll_timer()
    assert actions == [SubscribeToEndpoints()]


@pytest.mark.parametrize("must_subscribe", [True, False])
def test_new_address_is_subscribed_to_and_clears_the_failures(must_subscribe: bool) -> None:
    subscription = new_subscription(must_subscribe)
    subscription.on_failure("127.0.0.1:8500", NOW)
    actions = subscription.actions.start_event()
    subscription.on_address_changed(NOW)
    assert actions == [SubscribeToEndpoints()] * must_subscribe
    assert subscription.poller.failures == 0


def test_failure_of_a_discovery_without_an_address_is_logged_too() -> None:
    subscription = new_subscription(must_subscribe=True)
    actions = subscription.actions.start_event()
    subscription.on_failure("", NOW)
    assert actions[-1] == LogMessage("discovery: 1 consecutive failures")
