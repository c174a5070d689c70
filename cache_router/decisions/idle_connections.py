"""How long idle connections are kept: until keeping one has cost as much as the handshake that it saves."""

from dataclasses import dataclass

from cache_router.decisions.concurrency_limit import ConcurrencyLimit
from cache_router.decisions.events import AttemptStatus
from cache_router.settings import Settings

KEEP_SHARE = 0.5  # of the time after which an idle connection has cost as much as a handshake
KEEP_RECOVERY = 0.01  # of the way back to KEEP_SHARE with each attempt, after failures have halved it
# connections at each server: the unit in which settings price them, and what all routers together may keep
CONNECTIONS_PER_PRICE = 100


@dataclass(slots=True)
class IdleConnections:
    """Decides when the idle connections to a server are closed. Times are in seconds."""

    settings: Settings
    min_age: float  # over which the rate of requests is taken
    started_at: float
    keep_share: float = KEEP_SHARE
    request_count: int = 0

    def on_request(self) -> None:
        """Count an accepted request; their rate tells how soon a connection is used again."""
        self.request_count += 1

    def on_attempt_completed(self, status: AttemptStatus) -> None:
        """Connections that cannot be made are a sign of too many kept."""
        if status is AttemptStatus.CONNECT_FAILED:
            self.keep_share /= 2
        else:
            self.keep_share += KEEP_RECOVERY * (KEEP_SHARE - self.keep_share)

    def time_left(self, concurrency: ConcurrencyLimit, cache_count: int, now: float) -> float | None:
        """Seconds until the idle connections to a server should be closed; None: they stay, or are in use.

        Where connections have no price, those that all routers keep at a server still have to fit there: so
        many are kept within that time at the fleet's request rate (Little's law).
        """
        if concurrency.in_flight:
            return None
        price = self.settings.connection_price
        if not price and self.settings.router_count <= CONNECTIONS_PER_PRICE:  # one of each router fits
            return None
        handshake_price = self.settings.handshake_price
        share = self.keep_share * handshake_price / price if price else self.keep_share / KEEP_SHARE
        keep_time = CONNECTIONS_PER_PRICE * share * cache_count / self._fleet_request_rate(now)
        return concurrency.last_completed_at + keep_time - now

    def _fleet_request_rate(self, now: float) -> float:
        """Requests a second of all routers, by this router's own."""
        age = max(now - self.started_at, self.min_age)
        return self.request_count / age * self.settings.router_count
