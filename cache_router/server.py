"""Runs one router: its components, its signal handlers and its graceful shutdown."""

from __future__ import annotations

import asyncio
import logging
import signal
from contextlib import closing, suppress

from cache_router.config import Config, ConfigError, load_config
from cache_router.decisions.events import EndpointUpdateKind
from cache_router.descriptor_budget import DescriptorBudget, usable_descriptors
from cache_router.log_limit import LogLimit
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.discovery import Discovery
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.fair_selector import FairSelector
from cache_router.net.listener import Listener
from cache_router.net.load_monitor import LoadMonitor
from cache_router.net.load_statistics import LoadStatistics
from cache_router.net.origin_connection import OriginConnection
from cache_router.process_signals import unblock_signals
from cache_router.shutdown_schedule import ShutdownSchedule

# Seconds to wait for the first endpoint list before serving from the cached one. An agent on the same machine
# responds within milliseconds unless it is down.
FIRST_LIST_TIMEOUT = 1.0
log = logging.getLogger(__name__)


class RouterServer:
    """A router on real sockets, from the cached endpoint list to the end of its graceful shutdown.

    It must be created within a running event loop.
    """

    def __init__(
        self,
        config: Config,
        config_path: str,
        selector: FairSelector | None = None,
        log_limit: LogLimit | None = None,
    ) -> None:
        """Create the components of the router; no connection is opened yet.

        Args:
            config: The configuration.
            config_path: Path of the file from which it was read, and is read again on SIGHUP.
            selector: The selector of the event loop, if it is a `FairSelector`.
            log_limit: The bound on the log, if it has one.

        Raises:
            ConfigError: this process may open too few file descriptors.
        """
        self._config = config
        self._config_path = config_path
        settings = config.settings
        statistics = LoadStatistics()
        if selector is not None:
            selector.on_turn_ended = statistics.on_turn_ended
        self._load_monitor = LoadMonitor(statistics, log_limit or LogLimit())
        budget = DescriptorBudget.divide(usable_descriptors(config.max_descriptors))
        timeouts = settings.connect_timeout, settings.connection_idle_timeout
        self._caches = ConnectionPool(CacheConnection, budget.caches, *timeouts, statistics=statistics)
        self._origin = ConnectionPool(OriginConnection, budget.origin, *timeouts, statistics=statistics)
        pools = self._caches, self._origin
        self._dispatcher = Dispatcher(settings, config.seed, *pools, self._subscribe, statistics=statistics)
        self._updates_are_pushed = not settings.must_subscribe
        self._discovery = Discovery(
            config.discovery,
            config.cached_index,
            self._dispatcher.on_endpoint_update,
            self._dispatcher.on_watch_failed,
            self._updates_are_pushed,
            budget=settings.watch_budget,
        )
        self._listener = Listener(self._dispatcher, budget.clients, selector)
        self._terminated = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully.

        Raises:
            ConfigError: the listen address cannot be bound.
        """
        self._bind()
        with closing(self._origin), closing(self._caches), closing(self._discovery):
            self._watch_endpoints()
            self._handle_signals()
            if self._updates_are_pushed:
                await self._wait_for_first_list()
            if self._terminated.is_set():
                return  # nothing to drain: no client can have connected yet
            self._listener.start()
            log.info("listening on %s", self._listener.address)
            monitor = asyncio.create_task(self._load_monitor.run())
            await self._terminated.wait()
            await self._drain()
            monitor.cancel()

    def _subscribe(self) -> None:
        """Start a watch; the dispatcher calls this when the decisions request one."""
        self._discovery.subscribe()

    def _bind(self) -> None:
        """Bind the listen address before contacting any other machine; clients cannot connect yet."""
        try:
            self._listener.bind(self._config.listen)
        except (OSError, ValueError) as error:  # ValueError: a host name that cannot be encoded
            raise ConfigError(f"listen: {error}", where="listen") from error

    def _watch_endpoints(self) -> None:
        """Apply the cached endpoint list, and watch for changes to it."""
        self._dispatcher.on_endpoint_update(EndpointUpdateKind.CACHED, self._config.cached_endpoints)
        if self._updates_are_pushed:
            # The decisions subscribe only if the settings require it; a watch also receives pushed updates.
            self._subscribe()

    def _handle_signals(self) -> None:
        """Install the signal handlers, then unblock the signals; those sent since the start are pending."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._terminated.set)
        unblock_signals()

    async def _wait_for_first_list(self) -> None:
        """Wait for the first response of the agent, for at most `FIRST_LIST_TIMEOUT` seconds.

        The list of the agent counts as known to the router from the router's start. The cached list may
        contain servers that have drained since.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LIST_TIMEOUT):
                await self._discovery.wait_for_first_update()

    def _reload(self) -> None:
        """Reload the configuration file and apply a new discovery address.

        A change of any other field requires a restart. An incomplete or malformed file is rejected, and the
        router keeps its configuration.
        """
        try:
            address = load_config(self._config_path).discovery
        except ConfigError as error:
            log.error("configuration rejected, the previous one stays in effect: %s", error)
            return
        if address != self._discovery.address:
            self._change_discovery(address)

    def _change_discovery(self, address: str) -> None:
        """Watch the endpoint list of the discovery at `address` instead of the current one."""
        log.info("discovery is now %s", address)
        self._discovery.change_address(address)
        self._dispatcher.on_discovery_address_changed()
        if self._updates_are_pushed:
            self._subscribe()

    async def _drain(self) -> None:
        """Answer the requests in flight, and close each client connection after its last reply."""
        schedule = ShutdownSchedule.from_settings(self._config.settings)
        log.info(
            "draining %s: connections are accepted for %g s, SIGKILL may come in %g s",
            self._listener.address,
            schedule.accept_until,
            schedule.sigkill_at,
        )
        self._dispatcher.start_shutdown(schedule.answer_until)
        await self._listener.stop(schedule.accept_until, schedule.close_until - schedule.accept_until)


async def serve(
    config: Config, config_path: str, selector: FairSelector | None = None, log_limit: LogLimit | None = None
) -> None:
    """Run one router until it is terminated; SIGHUP reloads the file at `config_path`.

    `selector` is that of the running event loop, if it is a `FairSelector`, `log_limit` the bound on the log.

    Raises:
        ConfigError: the process may open too few file descriptors, or the listen address cannot be bound.
    """
    await RouterServer(config, config_path, selector, log_limit).run()
