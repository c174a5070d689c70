"""How long idle connections are kept: until keeping one has cost as much as the handshake that it saves."""

from dataclasses import dataclass

from cache_router.decisions.concurrency_limit import ConcurrencyLimit
from cache_router.decisions.events import AttemptStatus
from cache_router.settings import Settings

KEEP_SHARE = 0.5  # of the time after which an idle connection has cost as much as a handshake
KEEP_RECOVERY = 0.01  # share of the distance to KEEP_SHARE that each attempt recovers after failures
# connections at each server: the unit in which settings price them, and the number that all routers may keep
CONNECTIONS_PER_PRICE = 100


@dataclass(slots=True)
class IdleConnections:
    """Decides when the idle connections to a server are closed. Times are in seconds."""

    settings: Settings
    min_age: float  # shortest time over which the rate of requests is measured
    started_at: float
    keep_share: float = KEEP_SHARE
    request_count: int = 0

    def on_request(self) -> None:
        """Count an accepted request; the rate of requests shows how soon a connection is used again."""
        self.request_count += 1

    def on_attempt_completed(self, status: AttemptStatus) -> None:
        """Halve the time after a failed connect, a sign of full connection tables; else recover slowly."""
        if status is AttemptStatus.CONNECT_FAILED:
            self.keep_share /= 2
        else:
            self.keep_share += KEEP_RECOVERY * (KEEP_SHARE - self.keep_share)

    def time_left(self, concurrency: ConcurrencyLimit, cache_count: int, now: float) -> float | None:
        """Seconds until the idle connections to a server should be closed; None: they stay, or are in use."""
        if concurrency.in_flight or self._fits_at_every_server():
            return None
        return concurrency.last_completed_at + self._keep_time(cache_count, now) - now

    def _fits_at_every_server(self) -> bool:
        """Whether a connection has no price, and every server has room for one of each router."""
        return not self.settings.connection_price and self.settings.router_count <= CONNECTIONS_PER_PRICE

    def _keep_time(self, cache_count: int, now: float) -> float:
        """Seconds for which an idle connection is kept.

        By Little's law, a fleet that keeps a connection for t seconds after each request has t * (requests a
        second) connections, spread evenly over the caches. The time is such that each cache has as many as
        the price permits or, where connections have no price, as many as fit there (`CONNECTIONS_PER_PRICE`).
        """
        connections = CONNECTIONS_PER_PRICE * self._affordable_share()
        return connections * cache_count / self._fleet_request_rate(now)

    def _affordable_share(self) -> float:
        """Connections to keep at a server, as a multiple of `CONNECTIONS_PER_PRICE`."""
        price = self.settings.connection_price
        if price:
            return self.keep_share * self.settings.handshake_price / price
        return self.keep_share / KEEP_SHARE

    def _fleet_request_rate(self, now: float) -> float:
        """Requests a second of all routers, estimated from this router's own."""
        age = max(now - self.started_at, self.min_age)
        return self.request_count / age * self.settings.router_count
