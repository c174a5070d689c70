"""One real router: its descriptors, its signals, its start and its end."""

from __future__ import annotations

import asyncio
import logging
import os
import resource
import signal
import sys
from contextlib import suppress

from cache_router.config import MIN_DESCRIPTORS, Config, ConfigError, read_config, read_file
from cache_router.decisions.events import EndpointUpdateKind
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.client_connection import Listener
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.discovery import Discovery
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.origin_connection import OriginConnection

ACCEPT_AFTER_SIGTERM = (
    0.5  # seconds after SIGTERM in which new connections come: 0.2 to 0.4, and a little more
)
MAX_DRAIN_DEADLINE = 3.0  # SIGKILL comes no earlier than the longest deadline, or this where it is longer,
SIGKILL_MARGIN = 0.7  # and these seconds after SIGTERM
ANSWER_MARGIN = 0.2  # before that all is answered, as the core may be busy
CLOSE_MARGIN = 0.1  # and before that the last connections are closed
FIRST_LIST_TIMEOUT = (
    1.0  # seconds to hear of it before serving from the one known: an agent answers within ms or is down
)
RESERVED_DESCRIPTORS = 32  # descriptors for the loop, the log, the listener and discovery


def usable_descriptors(allowed: int) -> int:
    """How many this process can open of those that a configuration allows.

    Guards discovery: with budgets beyond the process's own limit, idle clients would take what its
    connection needs, and none of them would be ended for it.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY or limit >= allowed:
        return allowed
    if limit < MIN_DESCRIPTORS:
        raise ConfigError(
            f"limits.sockets: this process may open {limit}, and needs {MIN_DESCRIPTORS}",
            where="limits.sockets",
        )
    logging.warning("limits.sockets is %d, but this process may open %d", allowed, limit)
    return limit


async def serve(config: Config, path: str) -> None:
    """Serve until SIGTERM, and then what was taken."""
    settings = config.settings
    room = usable_descriptors(config.max_descriptors) - RESERVED_DESCRIPTORS
    times = settings.connect_timeout, settings.connection_idle_timeout
    servers = ConnectionPool(CacheConnection, room * 3 // 8, *times)
    origin = ConnectionPool(OriginConnection, room // 8, *times)

    def subscribe() -> None:
        discovery.subscribe()

    host = Dispatcher(settings, config.seed, servers, origin, subscribe)
    pushed = not settings.must_subscribe
    discovery = Discovery(
        config.discovery,
        config.cached_index,
        host.on_endpoint_update,
        host.on_watch_failed,
        pushed,
        budget=settings.watch_budget,
    )
    listener = Listener(host, room // 2)
    try:
        listener.bind(config.listen)
    except (OSError, ValueError) as e:  # also a host that cannot be spelled
        raise ConfigError(f"listen: {e}", where="listen") from e
    host.on_endpoint_update(EndpointUpdateKind.CACHED, config.cached_endpoints)
    if pushed:
        discovery.subscribe()  # the module does not ask for what is pushed; it comes by the same calls

    def reload() -> None:
        """Take a new address of discovery; nothing else of a configuration changes while a router runs."""
        try:
            address = read_config(read_file(path)).discovery
        except ConfigError as e:
            # guards the running router: a file half written or wrong must not cost what it serves
            logging.error("configuration not taken, the old one stays: %s", e)
            return
        if address == discovery.address:
            return
        logging.info("discovery is now %s", address)
        discovery.move(address)
        host.on_discovery_address_changed()
        if pushed:
            discovery.subscribe()

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload)
    terminated = asyncio.Event()
    for each in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(each, terminated.set)
    if pushed:
        # guards the rule on drains: what the agent holds counts as told from the first moment, and the list
        # known before may name servers that have left since
        with suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LIST_TIMEOUT):
                await discovery.heard.wait()
    listener.start()
    logging.info("listening on %s:%d", *listener.socket.getsockname())
    await terminated.wait()
    longest = max(c.client_timeout for c in settings.classes.values())
    killed = min(longest, MAX_DRAIN_DEADLINE) + SIGKILL_MARGIN
    logging.info("ending: no new connections in %g s, all answered in %g s", ACCEPT_AFTER_SIGTERM, killed)
    host.end_within(killed - ANSWER_MARGIN)
    await listener.stop(ACCEPT_AFTER_SIGTERM, killed - CLOSE_MARGIN - ACCEPT_AFTER_SIGTERM)
    discovery.close()
    servers.close()
    origin.close()


def main() -> int:
    """Run one router."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    path = os.environ.get("RELAY_CONFIG", "")
    try:
        asyncio.run(serve(read_config(read_file(path)), path))
    except ConfigError as e:
        print(f"cache_router: {e}", file=sys.stderr)
        return 2
    return 0
