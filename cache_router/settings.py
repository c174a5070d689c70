"""The settings of a site as typed values: request classes, limits, prices and time budgets.

`settings_reader.py` reads them from JSON. Times are in seconds unless a field says otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cache_router.errors import RouterError

# seconds, the tolerance of every time limit: without any backoff, an unreachable discovery would be polled in
# a busy loop
MIN_BACKOFF = 0.05


class SettingsError(RouterError, ValueError):
    """Settings that cannot be used; the message names the field."""


class Idempotency(Enum):
    """Whether a request of a class may be executed more than once."""

    IDEMPOTENT = "idempotent"
    WITH_KEY = "with_key"  # servers of one scope ignore a repeated key for a time
    NOT_IDEMPOTENT = "not_idempotent"


class IdempotencyScope(Enum):
    """The servers among which a repeated idempotency key is recognised."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class WatchBudget:
    """The time within which a change of the endpoint list must be known, by the parts of a watch.

    `notification_deadline` = `long_poll_wait` + `response_timeout` (a call times out) + `max_backoff`
    + `response_timeout` (the answer to the next call) + `scheduling_slack`. `long_poll_wait` is the
    remainder, so that the sum holds for any values of the other parts.
    """

    response_timeout: float = 2.0  # beyond the long poll itself; discovery may serve callers in turn
    max_backoff: float = 0.7  # after a call that took all its time
    scheduling_slack: float = 0.3  # for delays when other processes keep the core busy
    notification_deadline: float = 6.0  # from the moment discovery has a change and can be reached
    address_change_deadline: float = 4.0  # the same after a change of the discovery address

    @property
    def long_poll_wait(self) -> float:
        """How long discovery may wait for a change before it answers a call."""
        waits = self.max_backoff + 2 * self.response_timeout
        return self.notification_deadline - self.scheduling_slack - waits

    @property
    def call_timeout(self) -> float:
        """The timeout of a long poll; that of other calls is `response_timeout`."""
        return self.long_poll_wait + self.response_timeout

    @property
    def poll_cycle(self) -> float:
        """The longest time between the starts of two calls, for every kind of failure of the first one."""
        return self.call_timeout + self.max_backoff

    @property
    def address_change_cycle(self) -> float:
        """The same for the first call at a new address."""
        return self.address_change_deadline - self.scheduling_slack - self.response_timeout


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests and the expectations of its clients."""

    name: str
    latency_objective: float  # a later answer has no value
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL
    idempotency_window: float = 0.0  # how long servers remember a key
    priority_weight: float = 1.0
    client_timeout: float = 3.0  # after it, clients no longer wait for an answer


@dataclass(slots=True, frozen=True)
class Settings:
    """What a router is configured with at its start; only the fields that the program uses."""

    classes: dict[str, RequestClass]
    clock_resolution: float = 0.005
    cache_aside: bool = False  # the router fetches a missed value from the origin
    origin_kind: str | None = None  # the `Endpoint.kind` of origin members
    live_weights: bool = False  # the weight of a server falls with its load
    must_subscribe: bool = False  # changes of the endpoint list are sent to subscribers only
    hedging_allowed: bool = False
    cancellation_allowed: bool = False
    max_attempts: int = 1
    router_count: int = 1  # in the whole fleet, this one included
    load_report_fields: tuple[str, ...] = ()  # names of the values in a load report, in their order
    connection_idle_timeout: float = 60.0  # after which servers close an idle connection
    connect_timeout: float = 0.25
    max_retry_after: float = 0.0  # longest Retry-After that clients honour
    connection_price: float = 0.0  # of 100 open connections at every server
    handshake_price: float = 0.0  # of a new connection for every request
    slow_start_initial_share: float = 0.3  # share of its capacity that a server has at its start
    slow_start_duration: float = 10.0
    overload_multiple: float = 2.0  # a warming server fails at this multiple of the work it can do
    overload_window: float = 1.0  # time over which that work is counted
    drain_grace_period: float = 0.5  # how long a draining server still accepts requests

    @property
    def watch_budget(self) -> WatchBudget:
        """The time budget of a watch, which depends on who answers the calls.

        Where updates are pushed, an agent on the router's machine answers, and a call costs next to nothing.
        A router counts as notified as soon as its agent knows a change, so that no backoff may last longer
        than half of the grace period of drains.
        """
        if self.must_subscribe:
            return WatchBudget()
        backoff = min(WatchBudget().max_backoff, max(self.drain_grace_period / 2, MIN_BACKOFF))
        return WatchBudget(response_timeout=1.0, max_backoff=backoff)
