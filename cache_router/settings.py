"""Typed settings of a site: request classes, limits, prices and time budgets.

`settings_reader.py` reads them from JSON. Times are in seconds unless a field says otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cache_router.errors import RouterError

# Shortest backoff between polls, in seconds; equal to the tolerance of every time limit. Without any
# backoff, an unreachable discovery would be polled in a busy loop.
MIN_BACKOFF = 0.05


class SettingsError(RouterError, ValueError):
    """Invalid settings; the message names the field at fault."""


class Idempotency(Enum):
    """Whether a request of a class may be executed more than once."""

    IDEMPOTENT = "idempotent"
    WITH_KEY = "with_key"  # servers of one scope ignore a repeated key within the idempotency window
    NOT_IDEMPOTENT = "not_idempotent"


class IdempotencyScope(Enum):
    """The servers among which a repeated idempotency key is recognised."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class WatchBudget:
    """Time limits of the steps of a watch, which add up to the notification deadline of a change of the list.

    `notification_deadline` = `long_poll_wait` + `response_timeout` (a poll times out) + `max_backoff`
    + `response_timeout` (the response to the next poll) + `scheduling_slack`. `long_poll_wait` is the
    remainder, so that the sum holds for any values of the other terms.
    """

    response_timeout: float = 2.0  # time beyond a long poll's wait; discovery may serve polls one at a time
    max_backoff: float = 0.7  # longest backoff after a poll that timed out
    scheduling_slack: float = 0.3  # reserve for delays when other processes keep the core busy
    notification_deadline: float = 6.0  # time to receive a change that a reachable discovery has
    address_change_deadline: float = 4.0  # notification deadline after a change of the discovery address

    @property
    def long_poll_wait(self) -> float:
        """Time that discovery may wait for a change before it responds to a poll."""
        waits = self.max_backoff + 2 * self.response_timeout
        return self.notification_deadline - self.scheduling_slack - waits

    @property
    def poll_timeout(self) -> float:
        """Timeout of a long poll; that of other polls is `response_timeout`."""
        return self.long_poll_wait + self.response_timeout

    @property
    def poll_cycle(self) -> float:
        """Longest time between the starts of two polls, no matter how the first one fails."""
        return self.poll_timeout + self.max_backoff

    @property
    def address_change_cycle(self) -> float:
        """Longest time between the starts of the first two polls at a new address."""
        return self.address_change_deadline - self.scheduling_slack - self.response_timeout


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests, with the expectations of its clients."""

    name: str
    latency_objective: float  # time after which a final answer has no value
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL
    idempotency_window: float = 0.0  # time for which servers remember a key
    priority_weight: float = 1.0
    client_timeout: float = 3.0  # time after which clients no longer wait for a final answer


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings that a router is started with; only the fields that the program uses."""

    classes: dict[str, RequestClass]
    clock_resolution: float = 0.005
    cache_aside: bool = False  # whether the router fetches a value from the origin after a miss
    origin_kind: str | None = None  # `Endpoint.kind` of the origin's members; None if there is no origin
    live_weights: bool = False  # whether the weight of a server decreases as its load increases
    must_subscribe: bool = False  # whether only subscribers are sent changes of the endpoint list
    hedging_allowed: bool = False
    cancellation_allowed: bool = False
    max_attempts: int = 1
    router_count: int = 1  # routers in the whole fleet, including this one
    load_report_fields: tuple[str, ...] = ()  # names of the values in a load report, in order
    connection_idle_timeout: float = 60.0  # time after which servers close an idle connection
    connect_timeout: float = 0.25
    max_retry_after: float = 0.0  # longest Retry-After that clients honour
    connection_price: float = 0.0  # price of 100 open connections at every server
    handshake_price: float = 0.0  # price of a new connection for every request
    slow_start_initial_share: float = 0.3  # share of its capacity that a server has when it starts
    slow_start_duration: float = 10.0
    overload_multiple: float = 2.0  # a server that is warming up fails at this multiple of its work capacity
    overload_window: float = 1.0  # time over which the work of a server that is warming up is counted
    drain_grace_period: float = 0.5  # time for which a draining server still accepts requests

    @property
    def watch_budget(self) -> WatchBudget:
        """Time budget of a watch, which depends on whether discovery or an agent responds to the polls.

        If updates are pushed, an agent on the router's machine responds, and a poll costs next to nothing. A
        router counts as notified as soon as its agent knows of a change, so no backoff may exceed half of the
        drain grace period.
        """
        if self.must_subscribe:
            return WatchBudget()
        backoff = min(WatchBudget().max_backoff, max(self.drain_grace_period / 2, MIN_BACKOFF))
        return WatchBudget(response_timeout=1.0, max_backoff=backoff)
