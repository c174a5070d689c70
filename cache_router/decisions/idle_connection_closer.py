"""Closing of idle connections to a server, when keeping them longer would cost more than it saves."""

from dataclasses import dataclass, field

from cache_router.decisions.action_buffer import ActionBuffer
from cache_router.decisions.actions import CloseIdleConnections
from cache_router.decisions.endpoints import EndpointList
from cache_router.decisions.events import TimerKind
from cache_router.decisions.idle_connections import IdleConnections
from cache_router.decisions.server import Server
from cache_router.decisions.timers import TimerSet
from cache_router.settings import Settings


@dataclass(slots=True)
class IdleConnectionCloser:
    """Closes the idle connections to a server after the time determined by `IdleConnections`."""

    settings: Settings
    endpoints: EndpointList
    idle_connections: IdleConnections
    actions: ActionBuffer
    timers: TimerSet = field(init=False)

    def __post_init__(self) -> None:
        self.timers = TimerSet(TimerKind.IDLE_CONNECTIONS, self.actions)

    def close_or_set_timer(self, server: Server, now: float) -> None:
        """Close a server's idle connections if their time is up; otherwise set a timer to check again then.

        No timer is set where the host's own idle timeout would close the connections first.
        """
        cache_count = len(self.endpoints.caches)
        time_left = self.idle_connections.time_until_close(server.concurrency, cache_count, now)
        if time_left is None:
            return
        name = server.endpoint.name
        if time_left < self.settings.clock_resolution:
            self.actions.add(CloseIdleConnections(name))
        elif time_left < self.settings.connection_idle_timeout:
            self.timers.set_unless_due_earlier(name, time_left, now)

    def on_timer(self, server_name: str, now: float) -> None:
        """Handle the timer of a server; a server that is no longer listed needs no action."""
        server = self.endpoints.servers.get(server_name)
        if server is not None:
            self.close_or_set_timer(server, now)
