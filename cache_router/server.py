"""One running router: its parts, its signals and its graceful shutdown."""

from __future__ import annotations

import asyncio
import logging
import os
import resource
import signal
import sys
from contextlib import closing, suppress
from dataclasses import dataclass
from typing import Self

from cache_router.config import CONFIG_VARIABLE, MIN_DESCRIPTORS, Config, ConfigError, load_config
from cache_router.decisions.events import EndpointUpdateKind
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.discovery import Discovery
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.listener import Listener
from cache_router.net.origin_connection import OriginConnection
from cache_router.settings import Settings

# file descriptors for the event loop, the log, the listening socket and discovery
RESERVED_DESCRIPTORS = 32
# how the other descriptors are divided, in eighths: as many for clients as for all upstream connections;
# docs/CAPACITY.md lists the counts that follow
CACHE_EIGHTHS = 3
ORIGIN_EIGHTHS = 1
CLIENT_EIGHTHS = 4
# seconds to wait for the first endpoint list before serving from the cached one: an agent on the same
# machine answers within milliseconds or is down
FIRST_LIST_TIMEOUT = 1.0
# seconds after SIGTERM in which connections are still accepted: the platform goes on sending new ones for
# 0.2 to 0.4 s, and a little longer
ACCEPT_AFTER_SIGTERM = 0.5
# the platform's protocol: SIGKILL comes no earlier than SIGKILL_MARGIN seconds after the longest deadline of
# the settings, of which no more than MAX_DRAIN_DEADLINE seconds count
MAX_DRAIN_DEADLINE = 3.0
SIGKILL_MARGIN = 0.7
# seconds before SIGKILL by which every request is answered, and by which the last connection is closed: other
# processes may keep the core busy
ANSWER_MARGIN = 0.2
CLOSE_MARGIN = 0.1

UNUSABLE_CONFIG_STATUS = 2  # exit status of the process
log = logging.getLogger(__name__)


def usable_descriptors(configured: int) -> int:
    """How many of the configured file descriptors this process may open.

    Planning with more than the limit of the process would let idle clients take the descriptor that the
    connection to discovery needs: no client would be evicted for it.

    Raises:
        ConfigError: the limit of the process is too low for a router.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY or limit >= configured:
        return configured
    if limit < MIN_DESCRIPTORS:
        message = f"limits.sockets: this process may open {limit}, and needs {MIN_DESCRIPTORS}"
        raise ConfigError(message, where="limits.sockets")
    log.warning("limits.sockets is %d, but this process may open %d", configured, limit)
    return limit


@dataclass(slots=True, frozen=True)
class DescriptorBudget:
    """How many file descriptors each kind of connection may hold."""

    caches: int
    origin: int
    clients: int

    @classmethod
    def divide(cls, descriptors: int) -> Self:
        """Divide what is not reserved."""
        shared = descriptors - RESERVED_DESCRIPTORS
        return cls(
            caches=shared * CACHE_EIGHTHS // 8,
            origin=shared * ORIGIN_EIGHTHS // 8,
            clients=shared * CLIENT_EIGHTHS // 8,
        )


@dataclass(slots=True, frozen=True)
class ShutdownSchedule:
    """When the steps of a graceful shutdown end, in seconds after SIGTERM."""

    accept_until: float
    answer_until: float
    close_until: float
    sigkill_at: float

    @classmethod
    def from_settings(cls, settings: Settings) -> Self:
        """The schedule before the earliest SIGKILL, which depends on the longest client timeout."""
        longest = max(each.client_timeout for each in settings.classes.values())
        sigkill_at = min(longest, MAX_DRAIN_DEADLINE) + SIGKILL_MARGIN
        return cls(
            accept_until=ACCEPT_AFTER_SIGTERM,
            answer_until=sigkill_at - ANSWER_MARGIN,
            close_until=sigkill_at - CLOSE_MARGIN,
            sigkill_at=sigkill_at,
        )


class RouterServer:
    """A router on real sockets, from its cached endpoint list to the end of its graceful shutdown.

    Make it within a running event loop. Parts:
        caches, origin: connection pools towards cache servers and the origin
        dispatcher: carries events to the decisions, and their actions out
        discovery: watches the endpoint list
        listener: accepts clients
    """

    def __init__(self, config: Config, config_path: str) -> None:
        """Assemble the parts; nothing is opened yet.

        Raises:
            ConfigError: this process may open too few file descriptors.
        """
        self.config = config
        self.config_path = config_path
        settings = config.settings
        budget = DescriptorBudget.divide(usable_descriptors(config.max_descriptors))
        timeouts = settings.connect_timeout, settings.connection_idle_timeout
        self.caches = ConnectionPool(CacheConnection, budget.caches, *timeouts)
        self.origin = ConnectionPool(OriginConnection, budget.origin, *timeouts)
        self.dispatcher = Dispatcher(settings, config.seed, self.caches, self.origin, self._subscribe)
        self.updates_are_pushed = not settings.must_subscribe
        self.discovery = Discovery(
            config.discovery,
            config.cached_index,
            self.dispatcher.on_endpoint_update,
            self.dispatcher.on_watch_failed,
            self.updates_are_pushed,
            budget=settings.watch_budget,
        )
        self.listener = Listener(self.dispatcher, budget.clients)
        self.terminated = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully.

        Raises:
            ConfigError: the address to listen on cannot be taken.
        """
        self._bind()
        with closing(self.origin), closing(self.caches), closing(self.discovery):
            self._watch_endpoints()
            self._handle_signals()
            if self.updates_are_pushed:
                await self._wait_for_first_list()
            self.listener.start()
            log.info("listening on %s", self.listener.address)
            await self.terminated.wait()
            await self._drain()

    def _subscribe(self) -> None:
        self.discovery.subscribe()

    def _bind(self) -> None:
        """Take the address before anything is asked of other machines; nobody can connect yet."""
        try:
            self.listener.bind(self.config.listen)
        except (OSError, ValueError) as error:  # ValueError: a host name that cannot be encoded
            raise ConfigError(f"listen: {error}", where="listen") from error

    def _watch_endpoints(self) -> None:
        """Begin with the cached endpoint list, and watch for changes of it."""
        self.dispatcher.on_endpoint_update(EndpointUpdateKind.CACHED, self.config.cached_endpoints)
        if self.updates_are_pushed:
            # the decisions subscribe only where they must; what is pushed is read by the same calls
            self._subscribe()

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.terminated.set)

    async def _wait_for_first_list(self) -> None:
        """Wait until the agent has answered, or `FIRST_LIST_TIMEOUT`.

        What the agent knows counts as known to the router from its first moment, and the cached list may
        name servers that have drained since.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LIST_TIMEOUT):
                await self.discovery.first_update_received.wait()

    def _reload(self) -> None:
        """Read the configuration again and follow a new discovery address.

        Nothing else of it changes while a router runs. A file that is half written or wrong is not taken:
        the router goes on as before.
        """
        try:
            address = load_config(self.config_path).discovery
        except ConfigError as error:
            log.error("configuration not taken, the old one stays: %s", error)
            return
        if address == self.discovery.address:
            return
        log.info("discovery is now %s", address)
        self.discovery.change_address(address)
        self.dispatcher.on_discovery_address_changed()
        if self.updates_are_pushed:
            self._subscribe()

    async def _drain(self) -> None:
        """Answer the requests in flight, and close each connection with its last answer."""
        schedule = ShutdownSchedule.from_settings(self.config.settings)
        log.info(
            "draining: connections are accepted for %g s, SIGKILL may come in %g s",
            schedule.accept_until,
            schedule.sigkill_at,
        )
        self.dispatcher.start_shutdown(schedule.answer_until)
        await self.listener.stop(schedule.accept_until, schedule.close_until - schedule.accept_until)


async def serve(config: Config, config_path: str) -> None:
    """Run one router until it is terminated; `config_path` is read again on SIGHUP.

    Raises:
        ConfigError: the configuration does not fit this machine.
    """
    await RouterServer(config, config_path).run()


def main() -> int:
    """Run one router with the configuration that the environment names; returns the exit status."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    config_path = os.environ.get(CONFIG_VARIABLE, "")
    try:
        asyncio.run(serve(load_config(config_path), config_path))
    except ConfigError as error:
        print(f"cache_router: {error}", file=sys.stderr)
        return UNUSABLE_CONFIG_STATUS
    return 0
