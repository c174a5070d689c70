"""Runs the router with a fault put back, to show that a soak finds it: `python -m tests.soak.faults NAME`."""

from __future__ import annotations

import sys
from collections.abc import Callable

from cache_router import endpoint, process_signals
from cache_router.decisions import timers
from cache_router.decisions.endpoint_polling import EndpointPoller
from cache_router.decisions.retry_policy import RetryPolicy
from cache_router.net.endpoint_table import EndpointTable

FAILURES_UNTIL_OVERFLOW = 6  # instead of 1,025, so that an outage of seconds reaches them


def overflow_after_many_failures() -> None:
    """The backoff's arithmetic raises at a number of consecutive failures."""
    original = EndpointPoller.on_failure

    def on_failure(poller: EndpointPoller, now: float) -> float:
        if poller.failures >= FAILURES_UNTIL_OVERFLOW:
            poller.failures += 1
            raise OverflowError("(34, 'Numerical result out of range')")
        return original(poller, now)

    EndpointPoller.on_failure = on_failure  # type: ignore[method-assign, assignment]


def replaced_timers_fire() -> None:
    """A timer that was replaced or cancelled has its effect nevertheless."""
    timers.TimerSet.take = lambda _, timer: True  # type: ignore[method-assign, assignment]


def signals_have_their_default_effect() -> None:
    """No signal is held back at the start and after a shutdown."""
    process_signals.OPERATOR_SIGNALS = frozenset()


def draining_servers_get_requests() -> None:
    """A server that drains counts as ready."""
    is_ready = property(lambda entry: entry.state is not endpoint.EndpointState.REMOVED)
    endpoint.Endpoint.is_ready = is_ready  # type: ignore[assignment, method-assign]
    EndpointTable.is_sendable = lambda *_: True  # type: ignore[method-assign]


def every_request_is_repeated() -> None:
    """The class of a request does not keep it from being sent again."""
    RetryPolicy.permits_attempt = lambda *_: True  # type: ignore[method-assign]


FAULTS: dict[str, Callable[[], None]] = {
    "overflow": overflow_after_many_failures,
    "timers": replaced_timers_fire,
    "signals": signals_have_their_default_effect,
    "drain": draining_servers_get_requests,
    "repeats": every_request_is_repeated,
}


if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    process_signals.block_signals()
    from cache_router.program import main

    sys.exit(main())
