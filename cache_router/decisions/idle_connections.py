"""The time for which idle connections are kept, from the costs of open connections and of new handshakes."""

from dataclasses import dataclass

from cache_router.decisions.concurrency_limit import ConcurrencyLimit
from cache_router.decisions.events import AttemptStatus
from cache_router.settings import Settings

# Share of the break-even time for which an idle connection is kept. The break-even time is that after which
# keeping the connection has cost as much as the handshake that it saves.
KEEP_ALIVE_SHARE = 0.5
KEEP_ALIVE_RECOVERY = 0.01  # share of the difference to KEEP_ALIVE_SHARE that each further attempt restores
# Connections at each server to which one `Settings.connection_price` applies. Where connections have no
# price, all routers together keep this number at each server.
CONNECTIONS_PER_PRICE = 100


@dataclass(slots=True)
class IdleConnections:
    """Decides when the idle connections to a server are closed. Times are in seconds."""

    settings: Settings
    min_age: float  # minimum time over which the request rate is averaged
    started_at: float  # start of the router on its clock
    keep_alive_share: float = KEEP_ALIVE_SHARE  # current share; reduced by failed connects
    request_count: int = 0  # requests accepted since the start

    def on_request(self) -> None:
        """Count an accepted request; the request rate determines how soon a connection is used again."""
        self.request_count += 1

    def on_attempt_completed(self, status: AttemptStatus) -> None:
        """Halve the share after a failed connect: connection tables may be full. Else restore part of it."""
        if status is AttemptStatus.CONNECT_FAILED:
            self.keep_alive_share /= 2
        else:
            self.keep_alive_share += KEEP_ALIVE_RECOVERY * (KEEP_ALIVE_SHARE - self.keep_alive_share)

    def time_until_close(self, concurrency: ConcurrencyLimit, cache_count: int, now: float) -> float | None:
        """Return the seconds until the idle connections to a server should be closed.

        None means that they are kept without a limit, or that the server has attempts in flight.
        """
        if concurrency.in_flight or self._fits_at_every_server():
            return None
        return concurrency.last_completed_at + self._keep_time(cache_count, now) - now

    def _fits_at_every_server(self) -> bool:
        """Return whether connections have no price and one from each router fits at every server."""
        return not self.settings.connection_price and self.settings.router_count <= CONNECTIONS_PER_PRICE

    def _keep_time(self, cache_count: int, now: float) -> float:
        """Return the seconds for which an idle connection is kept.

        By Little's law, a fleet that keeps a connection for t seconds after each request has t * (requests
        per second) open connections, spread evenly over the caches. The time is chosen such that each cache
        has as many connections as the price permits, or `CONNECTIONS_PER_PRICE` where they have no price.
        """
        connections = CONNECTIONS_PER_PRICE * self._affordable_share()
        return connections * cache_count / self._fleet_request_rate(now)

    def _affordable_share(self) -> float:
        """Return the connections to keep at a server, as a multiple of `CONNECTIONS_PER_PRICE`."""
        price = self.settings.connection_price
        if price:
            return self.keep_alive_share * self.settings.handshake_price / price
        return self.keep_alive_share / KEEP_ALIVE_SHARE

    def _fleet_request_rate(self, now: float) -> float:
        """Return the requests per second of all routers, estimated from those of this router."""
        age = max(now - self.started_at, self.min_age)
        return self.request_count / age * self.settings.router_count
