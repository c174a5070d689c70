"""Run the router with a fault reintroduced, which the soak test has to detect.

Usage: `python -m tests.soak.faults NAME`, with a key of `FAULTS` as the name.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

from cache_router import endpoint, process_signals
from cache_router.decisions import timers
from cache_router.decisions.endpoint_polling import EndpointPoller
from cache_router.decisions.retry_policy import RetryPolicy
from cache_router.net.client_connection import ClientConnection
from cache_router.net.completed_exchange import CompletedExchange
from cache_router.net.endpoint_table import EndpointTable

FAILURES_UNTIL_OVERFLOW = 6  # instead of 1,025, so that an outage of a few seconds suffices


def overflow_after_many_failures() -> None:
    """Raise an OverflowError in the computation of the backoff after several consecutive failures."""
    original = EndpointPoller.on_failure

    def on_failure(poller: EndpointPoller, now: float) -> float:
        if poller.failures >= FAILURES_UNTIL_OVERFLOW:
            poller.failures += 1
            raise OverflowError("(34, 'Numerical result out of range')")
        return original(poller, now)

    EndpointPoller.on_failure = on_failure  # type: ignore[method-assign, assignment]


def replaced_timers_fire() -> None:
    """Let timers fire although they were replaced or cancelled."""
    timers.TimerSet.take = lambda _, timer: True  # type: ignore[method-assign, assignment]


def signals_have_their_default_effect() -> None:
    """Block no signals during the start and the end of the process."""
    process_signals.OPERATOR_SIGNALS = frozenset()


def draining_servers_get_requests() -> None:
    """Treat draining servers as ready."""
    is_ready = property(lambda entry: entry.state is not endpoint.EndpointState.REMOVED)
    endpoint.Endpoint.is_ready = is_ready  # type: ignore[assignment, method-assign]
    EndpointTable.is_sendable = lambda *_: True  # type: ignore[method-assign]


def every_request_is_repeated() -> None:
    """Permit retries regardless of the request's class."""
    RetryPolicy.permits_attempt = lambda *_: True  # type: ignore[method-assign]


def copies_of_responses_are_served() -> None:
    """Take a copy of a response for the response to the next request on its connection."""
    CompletedExchange.may_precede = lambda *_: True  # type: ignore[method-assign]
    CompletedExchange.is_repeated_by = lambda *_: False  # type: ignore[method-assign]


def further_commands_wait_while_draining() -> None:
    """Do not process further commands of a connection after its last pending reply in a shutdown."""
    process_input = ClientConnection.process_input

    def process_unless_draining(connection: ClientConnection, until: float) -> bool:
        is_paused = not connection._reading_enabled and not connection._replies
        return not (is_paused and connection._owner.draining) and process_input(connection, until)

    ClientConnection.process_input = process_unless_draining  # type: ignore[method-assign, assignment]


FAULTS: dict[str, Callable[[], None]] = {
    "overflow": overflow_after_many_failures,
    "timers": replaced_timers_fire,
    "signals": signals_have_their_default_effect,
    "drain": draining_servers_get_requests,
    "repeats": every_request_is_repeated,
    "pipeline": further_commands_wait_while_draining,
    "copies": copies_of_responses_are_served,
}


if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    process_signals.block_signals()
    from cache_router.program import main

    sys.exit(main())
