"""The site's settings as typed values: request classes, limits, prices and time budgets.

`settings_reader.py` fills them from JSON. Times are in seconds unless a field says otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cache_router.errors import RouterError

# seconds: the tolerance of every time limit; without any backoff a dead discovery would be polled in a spin
MIN_BACKOFF = 0.05


class SettingsError(RouterError, ValueError):
    """Settings that cannot be used; the message names the field."""


class Idempotency(Enum):
    """What repeating a request of a class may do."""

    IDEMPOTENT = "idempotent"
    WITH_KEY = "with_key"  # servers of one scope drop a repeat of its idempotency key for a while
    NOT_IDEMPOTENT = "not_idempotent"


class IdempotencyScope(Enum):
    """The servers among which a repeated idempotency key is recognised."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class WatchBudget:
    """How the time until a change of the endpoint list must be known is divided between the parts of a watch.

    `notification_deadline` = `long_poll_wait` + `response_timeout` (a call is given up) + `max_backoff`
    + `response_timeout` (the next call's answer) + `scheduling_slack`. `long_poll_wait` is what the other
    parts leave, so that no part can outgrow the sum.
    """

    response_timeout: float = 2.0  # beyond the long poll itself; discovery may serve callers in turn
    max_backoff: float = 0.7  # after a call that took all its time
    scheduling_slack: float = 0.3  # for a core that other processes keep busy
    notification_deadline: float = 6.0  # from the moment discovery has a change and can be reached
    address_change_deadline: float = 4.0  # the same after a new discovery address has come into force

    @property
    def long_poll_wait(self) -> float:
        """For how long a call asks discovery to wait for a change."""
        waits = self.max_backoff + 2 * self.response_timeout
        return self.notification_deadline - self.scheduling_slack - waits

    @property
    def call_timeout(self) -> float:
        """After which a long poll is given up; other calls are given up after `response_timeout`."""
        return self.long_poll_wait + self.response_timeout

    @property
    def poll_cycle(self) -> float:
        """From the start of a call to the start of the next at the latest, however the first one failed."""
        return self.call_timeout + self.max_backoff

    @property
    def address_change_cycle(self) -> float:
        """The same for the first call at a new address."""
        return self.address_change_deadline - self.scheduling_slack - self.response_timeout


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests, and what its clients expect."""

    name: str
    latency_objective: float  # an answer later than this earns nothing
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL
    idempotency_window: float = 0.0  # for which servers remember a key
    priority_weight: float = 1.0
    client_timeout: float = 3.0  # after which its clients give up


@dataclass(slots=True, frozen=True)
class Settings:
    """What a router is told once, at its start; only fields that the program uses are kept."""

    classes: dict[str, RequestClass]
    clock_resolution: float = 0.005
    cache_aside: bool = False  # the router itself fetches a miss from the origin
    origin_kind: str | None = None  # the `Endpoint.kind` of origin members
    live_weights: bool = False  # a weight falls with its server's load
    must_subscribe: bool = False  # changes of the endpoint list come only after asking
    hedging_allowed: bool = False
    cancellation_allowed: bool = False
    max_attempts: int = 1
    router_count: int = 1  # of the whole fleet, this one included
    load_report_fields: tuple[str, ...] = ()  # names of the values in a load report, in their order
    connection_idle_timeout: float = 60.0  # after which servers close an idle connection
    connect_timeout: float = 0.25
    max_retry_after: float = 0.0  # longest Retry-After that clients honour
    connection_price: float = 0.0  # of 100 open connections at every server
    handshake_price: float = 0.0  # of a new connection for every request
    slow_start_initial_share: float = 0.3  # of its capacity, that a server has when it starts
    slow_start_duration: float = 10.0
    overload_multiple: float = 2.0  # of the work a warming server is fit for, that makes it fail
    overload_window: float = 1.0  # over which that work is counted
    drain_grace_period: float = 0.5  # for which a server may still be sent to after it began to drain

    @property
    def watch_budget(self) -> WatchBudget:
        """The time budget of this way of getting endpoint updates.

        Where updates are pushed, the call is answered by an agent beside the router at no cost, and what the
        agent holds counts as known whether it is asked for or not: no backoff may outlast half of the grace
        period of drains.
        """
        if self.must_subscribe:
            return WatchBudget()
        backoff = min(WatchBudget().max_backoff, max(self.drain_grace_period / 2, MIN_BACKOFF))
        return WatchBudget(response_timeout=1.0, max_backoff=backoff)
