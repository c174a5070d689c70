"""Retry policy: the further attempts that a request's class permits, and the retry budget of all requests."""

from dataclasses import dataclass

from cache_router.decisions.events import AttemptStatus
from cache_router.decisions.pending_request import Attempt, PendingRequest
from cache_router.decisions.server import Server
from cache_router.endpoint import Endpoint
from cache_router.settings import Idempotency, IdempotencyScope, RequestClass, Settings

RETRIES_PER_REQUEST = 0.2  # enough after the loss of a server, too few to sustain an overload
MAX_SAVED_RETRIES = 10.0  # enough to retry at once all requests that were in flight at a lost server
# lowest success rate of attempts at caches at which the retry after a cheap failure is free
FREE_RETRY_SUCCESS_RATE = 0.3
# fast failures that cost no server any work
CHEAP_FAILURES = (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED)


def recognises_repeats(scope: IdempotencyScope, one: Endpoint, other: Endpoint) -> bool:
    """Return whether each of two servers drops a request whose idempotency key the other has received."""
    if scope is IdempotencyScope.ZONE:
        return one.zone == other.zone
    return scope is IdempotencyScope.ALL or one.cell == other.cell


@dataclass(slots=True)
class RetryPolicy:
    """Bounds the attempts of a request, and prevents a second execution if it is not idempotent."""

    settings: Settings

    def permits_attempt(self, pending: PendingRequest, server: Server, now: float) -> bool:
        """Return whether the next attempt of the request may be sent to this server."""
        if not pending.attempts:
            return True
        if len(pending.attempts) >= self.settings.max_attempts:
            return False
        if not self.settings.hedging_allowed and pending.has_open_attempts():
            return False
        request_class = pending.request_class
        executed = [attempt for attempt in pending.attempts if attempt.may_have_executed]
        if request_class.idempotency is Idempotency.IDEMPOTENT or not executed:
            return True
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return False
        if not self._is_within_window(request_class, executed, now):
            return False
        scope, endpoint = request_class.idempotency_scope, server.endpoint
        return all(recognises_repeats(scope, attempt.endpoint, endpoint) for attempt in executed)

    def permits_rejection(self, pending: PendingRequest) -> bool:
        """Return whether a rejection is a safe final answer if the client then sends the request again.

        It is safe when the request cannot have been executed, when a second execution does no harm, or when
        every server recognises the repeat.
        """
        idempotency = pending.request_class.idempotency
        if idempotency is Idempotency.IDEMPOTENT:
            return True
        if not any(attempt.may_have_executed for attempt in pending.attempts):
            return True
        scope = pending.request_class.idempotency_scope
        return idempotency is Idempotency.WITH_KEY and scope is IdempotencyScope.ALL

    def _is_within_window(self, request_class: RequestClass, executed: list[Attempt], now: float) -> bool:
        """Return whether servers still recognise the request's idempotency key when another attempt arrives.

        The attempt may have to wait for a connection first. A repeat that arrives after the idempotency
        window would be executed again.
        """
        window_end = min(attempt.sent_at for attempt in executed) + request_class.idempotency_window
        return now + self.settings.connect_timeout < window_end


@dataclass(slots=True)
class RetryBudget:
    """A token bucket of retries: each accepted request adds a share of a token, up to a bound."""

    tokens: float = MAX_SAVED_RETRIES

    def on_request(self) -> None:
        """Add the share of a token that each accepted request contributes."""
        self.tokens = min(MAX_SAVED_RETRIES, self.tokens + RETRIES_PER_REQUEST)

    def has_token(self) -> bool:
        """Return whether a whole token is left."""
        return self.tokens >= 1

    def take_token(self) -> bool:
        """Take one token; when less than a whole one is left, take that part and return False."""
        is_left = self.has_token()
        self.tokens = max(0.0, self.tokens - 1)
        return is_left

    def take_for_retry(self, failure: AttemptStatus, success_rate: float) -> bool:
        """Take a token for the retry after a failure; return False when the budget does not permit the retry.

        The retry after a cheap failure is free, unless most attempts fail: free retries would then turn each
        request into many attempts.
        """
        if failure in CHEAP_FAILURES and success_rate >= FREE_RETRY_SUCCESS_RATE:
            return True
        return self.take_token()
