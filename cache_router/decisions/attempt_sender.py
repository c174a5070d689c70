"""Sending of attempts to caches and the origin, with the timers of their hedged requests."""

from dataclasses import dataclass, field

from cache_router.decisions.action_buffer import ActionBuffer
from cache_router.decisions.actions import Send
from cache_router.decisions.events import AttemptStatus, TimerKind
from cache_router.decisions.hedging import Hedging
from cache_router.decisions.pending_request import Attempt, PendingRequest
from cache_router.decisions.server import Server
from cache_router.decisions.slow_start import SlowStart
from cache_router.decisions.timers import TimerSet

# shares of the latency objective; a higher mean latency indicates too many attempts in flight at the server
CACHE_LATENCY_TARGET = 0.25
ORIGIN_LATENCY_TARGET = 0.5  # the origin is slower than a cache even without load


@dataclass(slots=True)
class AttemptSender:
    """Sends attempts, and owns those in flight, including attempts of requests that have ended."""

    hedging: Hedging
    slow_start: SlowStart
    actions: ActionBuffer
    in_flight: dict[tuple[str, int], Attempt] = field(default_factory=dict)  # keyed by request id and number
    timers: TimerSet = field(init=False)  # timers of hedged requests, by request id

    def __post_init__(self) -> None:
        self.timers = TimerSet(TimerKind.HEDGE, self.actions)

    def send(self, pending: PendingRequest, server: Server, now: float) -> None:
        """Send the request's next attempt to a server."""
        request_id = pending.request.request_id
        target = CACHE_LATENCY_TARGET if server.is_cache else ORIGIN_LATENCY_TARGET
        attempt = Attempt(server, target * pending.request_class.latency_objective, now)
        self.in_flight[request_id, pending.add_attempt(attempt)] = attempt
        server.concurrency.on_attempt_sent(now)
        self.slow_start.on_attempt_sent(server, now)
        self.actions.add(Send(request_id, server.endpoint.name))
        hedge_delay = self.hedging.delay(pending, server, now)
        if hedge_delay is not None:
            self.timers.set(request_id, hedge_delay, now)
        else:
            self.timers.cancel(request_id)

    def send_hedge(self, pending: PendingRequest, now: float) -> None:
        """Send a hedged request if the last attempt is still unanswered and another one is permitted."""
        server = self.hedging.choose_server(pending, now)
        if server is not None:
            self.send(pending, server, now)

    def complete(self, request_id: str, attempt_number: int, status: AttemptStatus) -> Attempt | None:
        """Remove an attempt that has ended from those in flight and return it; None when it is unknown."""
        attempt = self.in_flight.pop((request_id, attempt_number), None)
        if attempt is not None:
            attempt.complete(status)
        return attempt
